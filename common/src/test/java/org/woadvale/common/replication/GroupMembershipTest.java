package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GroupMembershipTest {
    private static final Map<String, String> FORMER = Map.of("a", "1", "b", "2", "c", "3");
    private static final Map<String, String> NEXT = Map.of("a", "1", "b", "2", "d", "4");
    private static final long CHANGE_INDEX = 7;

    private final GroupMembership membership = new GroupMembership();

    @BeforeEach
    void begin() {
        membership.reset(FORMER);
    }

    @Test
    void noGroupHasNoMajority() {
        assertFalse(new GroupMembership().hasMajority(FORMER));
    }

    @Test
    void aMemberUnderAnotherIdentityDoesNotCount() {
        assertTrue(membership.hasMajority(Map.of("a", "1", "b", "2")));
        assertFalse(membership.hasMajority(Map.of("a", "1", "b", "another")));
    }

    @Test
    void aChangeNeedsBothMajoritiesUntilItIsCommitted() {
        membership.onAppended(CHANGE_INDEX, NEXT);
        assertTrue(membership.isChanging());
        assertEquals(List.of("b", "c", "d"), membership.membersExcept("a"));
        assertFalse(membership.hasMajority(Map.of("b", "2", "c", "3")), "one of the next group only");
        assertFalse(membership.hasMajority(Map.of("b", "2", "d", "4")), "one of the former group only");
        assertTrue(membership.hasMajority(Map.of("a", "1", "b", "2")));
        membership.onCommitted(CHANGE_INDEX);
        assertFalse(membership.isChanging());
        assertTrue(membership.hasMajority(Map.of("b", "2", "d", "4")));
    }

    @Test
    void aChangeThatIsCutOffTheLogIsForgotten() {
        membership.onAppended(CHANGE_INDEX, NEXT);
        membership.truncateFrom(CHANGE_INDEX + 1);
        assertEquals(NEXT, membership.latest());
        membership.truncateFrom(CHANGE_INDEX);
        assertEquals(FORMER, membership.latest());
        assertFalse(membership.isChanging());
    }

    @Test
    void aCommitBeforeTheChangeLeavesItOpen() {
        membership.onAppended(CHANGE_INDEX, NEXT);
        membership.onCommitted(CHANGE_INDEX - 1);
        assertTrue(membership.isChanging());
        assertEquals(FORMER, membership.committed());
    }
}
