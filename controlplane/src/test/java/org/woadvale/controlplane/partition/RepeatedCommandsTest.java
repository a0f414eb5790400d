package org.woadvale.controlplane.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.Processor;
import org.woadvale.common.membership.Wire;
import org.woadvale.common.rpc.Codec;

/** Internal commands that were sent again have the outcome of their first copy, and no effect of their own. */
class RepeatedCommandsTest {
    private static final Codec CODEC = Wire.codec(Wire.LIGHTHOUSE, Operators.types());
    private static final String LIST = "processors/book";
    private static final ControlMessages.Done YES = new ControlMessages.Done(true);
    private static final ControlMessages.Done NO = new ControlMessages.Done(false);

    private final ControlStateMachine machine = new ControlStateMachine(CODEC, 1 << 20);
    private long index;

    private Object apply(Object command) {
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
    void repeatedListIsYesAndUndoesNothing() {
        ControlMessages.PutProcessors first = list(false, 7);
        assertEquals(YES, apply(first));
        assertEquals(YES, apply(list(true, 8)));
        assertEquals(YES, apply(first));
        assertTrue(machine.service(LIST).processors().get("p").leaving(), "the later list stays");
    }

    @Test
    void repeatOfARefusedListStaysRefused() {
        assertEquals(YES, apply(list(false, 7)));
        ControlMessages.PutProcessors late = new ControlMessages.PutProcessors(LIST, Map.of(), 1, 9);
        assertEquals(NO, apply(late));
        assertEquals(NO, apply(late));
        assertEquals(1, machine.service(LIST).processors().size());
    }

    @Test
    void repeatedDutyIsYesWhileItIsHeld() {
        ControlMessages.TakeDuty take = new ControlMessages.TakeDuty("bucket/t", "node", 0, false, 11);
        ControlMessages.DutyReply first = (ControlMessages.DutyReply) apply(take);
        assertTrue(first.yours());
        assertEquals(first, apply(take));
        assertEquals(1, machine.service("bucket/t").duty().term(), "taken once");
        apply(new ControlMessages.TakeDuty("bucket/t", "other", 1, true, 12));
        assertEquals(false, ((ControlMessages.DutyReply) apply(take)).yours());
    }

    @Test
    void outcomesSurviveASnapshot() {
        ControlMessages.PutProcessors first = list(false, 7);
        apply(first);
        apply(list(true, 8));
        ControlStateMachine restored = new ControlStateMachine(CODEC, 1 << 20);
        restored.restore(machine.view());
        assertEquals(YES, restored.apply(++index, first));
        assertTrue(restored.service(LIST).processors().get("p").leaving());
    }

    @Test
    void outcomesAreBounded() {
        for (int i = 1; i <= AppliedRequests.CAPACITY + 20; i++) {
            apply(list(false, i));
        }
        assertEquals(AppliedRequests.CAPACITY, machine.appliedRequests().all().size());
    }
}
