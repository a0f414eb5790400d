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

/** Internal commands that were sent again have the outcome of their first copy, and no effect of their own. */
class RepeatedCommandsTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.CONTROL_PLANE, ControlApiMessages.types());
    private static final String LIST = "processors/book";
    private static final ControlMessages.UpdateResult YES = new ControlMessages.UpdateResult(true);
    private static final ControlMessages.UpdateResult NO = new ControlMessages.UpdateResult(false);

    private final ControlStateMachine machine = new ControlStateMachine(CODEC, 1 << 20);
    private long index;

    private Object apply(ControlMessages.ControlCommand command) throws ServiceException {
        return machine.apply(++index, command);
    }

    private ControlMessages.PutProcessors list(boolean leaving, long requestId) {
        return new ControlMessages.PutProcessors(
                LIST,
                Map.of("p", new Processor("http://10.0.0.1:1", leaving)),
                machine.service(LIST).version() + 1,
                requestId);
    }

    @Test
    void repeatedListIsYesAndUndoesNothing() throws ServiceException {
        ControlMessages.PutProcessors first = list(false, 7);
        assertEquals(YES, apply(first));
        assertEquals(YES, apply(list(true, 8)));
        assertEquals(YES, apply(first));
        assertTrue(machine.service(LIST).processors().get("p").leaving(), "the later list stays");
    }

    @Test
    void repeatOfARefusedListStaysRefused() throws ServiceException {
        assertEquals(YES, apply(list(false, 7)));
        ControlMessages.PutProcessors late = new ControlMessages.PutProcessors(LIST, Map.of(), 1, 9);
        assertEquals(NO, apply(late));
        assertEquals(NO, apply(late));
        assertEquals(1, machine.service(LIST).processors().size());
    }

    @Test
    void repeatedDutyIsYesWhileItIsHeld() throws ServiceException {
        ControlMessages.AcquireSingleton take = new ControlMessages.AcquireSingleton("bucket/t", "node", 0, false, 11);
        ControlMessages.SingletonLeaseResponse first = (ControlMessages.SingletonLeaseResponse) apply(take);
        assertTrue(first.granted());
        assertEquals(first, apply(take));
        assertEquals(1, machine.service("bucket/t").singleton().term(), "taken once");
        apply(new ControlMessages.AcquireSingleton("bucket/t", "other", 1, true, 12));
        assertEquals(false, ((ControlMessages.SingletonLeaseResponse) apply(take)).granted());
    }

    @Test
    void outcomesSurviveASnapshot() throws ServiceException {
        ControlMessages.PutProcessors first = list(false, 7);
        apply(first);
        apply(list(true, 8));
        ControlStateMachine restored = new ControlStateMachine(CODEC, 1 << 20);
        restored.restore(machine.snapshot());
        assertEquals(YES, restored.apply(++index, first));
        assertTrue(restored.service(LIST).processors().get("p").leaving());
    }

    @Test
    void outcomesAreBounded() throws ServiceException {
        for (int i = 1; i <= AppliedRequests.CAPACITY + 20; i++) {
            apply(list(false, i));
        }
        assertEquals(AppliedRequests.CAPACITY, machine.appliedRequests().all().size());
    }
}
