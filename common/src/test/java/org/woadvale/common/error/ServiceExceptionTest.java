package org.woadvale.common.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ServiceExceptionTest {
    @ParameterizedTest
    @EnumSource
    void exceptionTypeOfEachKindMatchesItsProperties(ErrorKind kind) {
        ServiceException failure = ServiceException.of(kind, "text", List.of("detail"));
        assertEquals(kind, failure.kind());
        assertEquals("text", failure.getMessage());
        assertEquals(List.of("detail"), failure.details());
        assertEquals(kind.definite() && kind.retryable(), failure instanceof RetriableException);
        assertEquals(kind.definite() && !kind.retryable(), failure instanceof RejectedException);
    }

    @Test
    void leaderIsCarriedInTheDetails() {
        NotLeaderException sent = new NotLeaderException("text", Optional.of("10.0.0.1:1"));
        ServiceException read = ServiceException.of(sent.kind(), sent.getMessage(), sent.details());
        assertEquals(
                Optional.of("10.0.0.1:1"),
                assertInstanceOf(NotLeaderException.class, read).leader());
        assertEquals(Optional.empty(), new NotLeaderException("text", Optional.empty()).leader());
    }

    @Test
    void otherThrowablesBecomeInternalErrorsAndServiceExceptionsAreKept() {
        assertInstanceOf(InternalErrorException.class, ServiceException.of(new IllegalArgumentException("text")));
        ThrottledException own = new ThrottledException("text", 3);
        assertSame(own, ServiceException.of(own));
        assertEquals(Optional.of("3"), own.retryAfterSeconds());
    }
}
