package org.woadvale.testkit.explore;

import java.nio.charset.StandardCharsets;
import org.woadvale.common.replication.StateMachine;

/** The replicated state of the model: a register with compare-and-set, like the configurations. */
final class RegisterMachine implements StateMachine<String, String> {
    /** The result of a put whose base was not the current value. */
    static final String REFUSED = "refused";

    /** The prefix of the result of an accepted put; the number of puts accepted so far follows. */
    static final String ACCEPTED = "accepted ";

    static final String INITIAL = "0";
    private static final String SEPARATOR = ">";
    private String value = INITIAL;
    private long accepted;

    static String put(String base, String next) {
        return base + SEPARATOR + next;
    }

    String value() {
        return value;
    }

    /** The number of accepted puts; it never decreases in a correct system. */
    long accepted() {
        return accepted;
    }

    /** Two replicas that applied the same commands have the same content. */
    String content() {
        return accepted + SEPARATOR + value;
    }

    @Override
    public Class<String> commandType() {
        return String.class;
    }

    @Override
    public String apply(long index, String command) {
        String[] parts = command.split(SEPARATOR);
        if (!parts[0].equals(value)) {
            return REFUSED;
        }
        value = parts[1];
        accepted++;
        return ACCEPTED + accepted;
    }

    @Override
    public byte[] snapshot() {
        return content().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
        String[] parts = new String(snapshot, StandardCharsets.UTF_8).split(SEPARATOR);
        accepted = Long.parseLong(parts[0]);
        value = parts[1];
    }
}
