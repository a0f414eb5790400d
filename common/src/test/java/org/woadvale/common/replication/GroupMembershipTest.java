package org.woadvale.common.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GroupMembershipTest {
    private static final Map<String, String> OLD_MEMBERS = Map.of("a", "1", "b", "2", "c", "3");
    private static final Map<String, String> NEW_MEMBERS = Map.of("a", "1", "b", "2", "d", "4");
    private static final long CHANGE_INDEX = 7;

    private final GroupMembership membership = new GroupMembership();

    @BeforeEach
    void setUp() {
        membership.reset(OLD_MEMBERS);
    }

    @Test
    void emptyGroupHasNoMajority() {
        assertFalse(new GroupMembership().hasMajority(OLD_MEMBERS));
    }

    @Test
    void memberUnderAnotherIdentityDoesNotCount() {
        assertTrue(membership.hasMajority(Map.of("a", "1", "b", "2")));
        assertFalse(membership.hasMajority(Map.of("a", "1", "b", "another")));
    }

    @Test
    void uncommittedChangeNeedsBothMajorities() {
        membership.onAppended(CHANGE_INDEX, NEW_MEMBERS);
        assertTrue(membership.isChanging());
        assertEquals(List.of("b", "c", "d"), membership.membersExcept("a"));
        assertFalse(membership.hasMajority(Map.of("b", "2", "c", "3")), "only one of the new members");
        assertFalse(membership.hasMajority(Map.of("b", "2", "d", "4")), "only one of the old members");
        assertTrue(membership.hasMajority(Map.of("a", "1", "b", "2")));
        membership.onCommitted(CHANGE_INDEX);
        assertFalse(membership.isChanging());
        assertTrue(membership.hasMajority(Map.of("b", "2", "d", "4")));
    }

    @Test
    void truncatedChangeIsDiscarded() {
        membership.onAppended(CHANGE_INDEX, NEW_MEMBERS);
        membership.truncateFrom(CHANGE_INDEX + 1);
        assertEquals(NEW_MEMBERS, membership.latest());
        membership.truncateFrom(CHANGE_INDEX);
        assertEquals(OLD_MEMBERS, membership.latest());
        assertFalse(membership.isChanging());
    }

    @Test
    void earlierCommitLeavesTheChangePending() {
        membership.onAppended(CHANGE_INDEX, NEW_MEMBERS);
        membership.onCommitted(CHANGE_INDEX - 1);
        assertTrue(membership.isChanging());
        assertEquals(OLD_MEMBERS, membership.committed());
    }
}
