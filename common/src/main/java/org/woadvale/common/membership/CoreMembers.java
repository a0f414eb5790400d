package org.woadvale.common.membership;

import java.util.List;

/**
 * The control machines that make up the core, by address.
 *
 * @param epoch the log index of the committed entry that set this list, so a list with a lower epoch is older; 0 for a
 *     list from settings or from a build without epochs
 * @param members addresses, each once
 */
public record CoreMembers(long epoch, List<String> members) {
    /** Keeps a copy of the list. */
    public CoreMembers {
        members = List.copyOf(members);
    }

    /** The list of a node that knows no members yet. */
    public static CoreMembers unknown() {
        return new CoreMembers(0, List.of());
    }

    /** Returns the list with the higher epoch; this one if both have the same epoch or the other is empty. */
    public CoreMembers newerOf(CoreMembers other) {
        return other.epoch > epoch && !other.members.isEmpty() ? other : this;
    }
}
