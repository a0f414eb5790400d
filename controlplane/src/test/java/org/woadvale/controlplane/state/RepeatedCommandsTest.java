package org.woadvale.controlplane.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.rpc.Codec;
import org.woadvale.controlplane.api.ControlApiMessages;

/** Resent internal commands get the outcome of their first copy and have no effect of their own. */
class RepeatedCommandsTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
    private static final String LIST = "processors/book";
    private static final ControlMessages.UpdateResult ACCEPTED = new ControlMessages.UpdateResult(true);
    private static final ControlMessages.UpdateResult REJECTED = new ControlMessages.UpdateResult(false);

    private final ControlStateMachine stateMachine = new ControlStateMachine(CODEC, 1 << 20);
    private long index;

    private Object apply(ControlMessages.ControlCommand command) throws ServiceException {
        return stateMachine.apply(++index, command);
    }

    private ControlMessages.PutProcessors list(boolean leaving, long requestId) {
        return new ControlMessages.PutProcessors(
                LIST,
                Map.of("p", new Processor("http://10.0.0.1:1", leaving)),
                stateMachine.service(LIST).version() + 1,
                requestId);
    }

    @Test
    void repeatedListIsAcceptedAndUndoesNothing() throws ServiceException {
        ControlMessages.PutProcessors first = list(false, 7);
        assertEquals(ACCEPTED, apply(first));
        assertEquals(ACCEPTED, apply(list(true, 8)));
        assertEquals(ACCEPTED, apply(first));
        assertTrue(stateMachine.service(LIST).processors().get("p").leaving(), "the later list remains");
    }

    @Test
    void repeatOfARejectedListStaysRejected() throws ServiceException {
        assertEquals(ACCEPTED, apply(list(false, 7)));
        ControlMessages.PutProcessors late = new ControlMessages.PutProcessors(LIST, Map.of(), 1, 9);
        assertEquals(REJECTED, apply(late));
        assertEquals(REJECTED, apply(late));
        assertEquals(1, stateMachine.service(LIST).processors().size());
    }

    @Test
    void repeatedAcquisitionIsGrantedWhileTheLeaseIsHeld() throws ServiceException {
        ControlMessages.AcquireSingleton acquire =
                new ControlMessages.AcquireSingleton("bucket/t", "node", 0, false, 11);
        ControlMessages.SingletonLeaseResponse first = (ControlMessages.SingletonLeaseResponse) apply(acquire);
        assertTrue(first.granted());
        assertEquals(first, apply(acquire));
        assertEquals(1, stateMachine.service("bucket/t").singleton().term(), "acquired once");
        apply(new ControlMessages.AcquireSingleton("bucket/t", "other", 1, true, 12));
        assertEquals(false, ((ControlMessages.SingletonLeaseResponse) apply(acquire)).granted());
    }

    @Test
    void outcomesSurviveASnapshot() throws ServiceException {
        ControlMessages.PutProcessors first = list(false, 7);
        apply(first);
        apply(list(true, 8));
        ControlStateMachine restored = new ControlStateMachine(CODEC, 1 << 20);
        restored.restore(stateMachine.snapshot());
        assertEquals(ACCEPTED, restored.apply(++index, first));
        assertTrue(restored.service(LIST).processors().get("p").leaving());
    }

    @Test
    void outcomesAreBounded() throws ServiceException {
        for (int i = 1; i <= AppliedRequests.CAPACITY + 20; i++) {
            apply(list(false, i));
        }
        assertEquals(
                AppliedRequests.CAPACITY, stateMachine.appliedRequests().all().size());
    }
}
