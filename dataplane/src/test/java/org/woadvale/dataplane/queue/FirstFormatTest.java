package org.woadvale.dataplane.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.RpcTypeNumbers;
import org.woadvale.common.replication.LogEntry;
import org.woadvale.common.replication.ReplicationMessages;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/**
 * Reads bytes that the first version wrote to its logs. Guards against a changed type or type number, which would make
 * stored data unreadable.
 */
class FirstFormatTest {
    private static final Codec CODEC = RpcTypeNumbers.codec(RpcTypeNumbers.DATA_PLANE, MessageCommands.types());

    private static <T> T read(String hex, Class<T> type) throws ServiceException {
        return CODEC.readFirstFormat(HexFormat.of().parseHex(hex), type);
    }

    @Test
    void commandsOfTheFirstVersionAreRead() throws ServiceException {
        MessageCommands.Accept accept =
                read("9303010b00030102010a0082688269826c826f827401e807068273d00f", MessageCommands.Accept.class);
        assertEquals(
                "t l i o h",
                String.join(" ", accept.tenant(), accept.lane(), accept.id(), accept.orderKey(), accept.hash()));
        assertEquals(new RouteTerms("s", 1000, 3, 500, false), accept.terms());
        assertEquals(Instant.ofEpochSecond(10), accept.due());
        assertEquals(Instant.ofEpochSecond(11), accept.at());
        assertEquals(
                new MessageCommands.End(
                        "m0-1",
                        2,
                        MessageCommands.AttemptOutcome.SUCCEEDED,
                        "r",
                        Instant.ofEpochSecond(10),
                        Instant.ofEpochSecond(11)),
                read("9503010b0004010a00016d302db18272", MessageCommands.End.class));
    }

    @Test
    void logEntriesAndSnapshotsOfTheFirstVersionAreRead() throws ServiceException {
        LogEntry entry = read("710209010e", LogEntry.class);
        assertEquals(7, entry.term());
        assertEquals(LogEntry.Kind.COMMAND, entry.kind());
        ReplicationMessages.ReplicaSnapshot snapshot =
                read("7019020003613ab103827869e40a040204010b01068276", ReplicationMessages.ReplicaSnapshot.class);
        assertEquals(Map.of("a:1", "x"), snapshot.members());
        assertEquals(List.of(5L, 2L, 3L), List.of(snapshot.index(), snapshot.indexTerm(), snapshot.term()));
    }

    /** Stored as (alpha, gamma, zone), in the order of the names of that time. */
    private record Renamed(
            String alpha, @FirstFormatName("zone") String beta, String gamma) {}

    @Test
    void renamedComponentsAreReadInTheirFormerOrder() throws ServiceException {
        Codec codec = new Codec(Map.of(100, List.of(Renamed.class)));
        byte[] stored = HexFormat.of().parseHex("668261" + "8267" + "827a");
        assertEquals(new Renamed("a", "z", "g"), codec.readFirstFormat(stored, Renamed.class));
    }

    /** An older and a newer build, whose record has more components: each reads what the other wrote. */
    private record OlderRecord(String a, int b) {}

    private record NewerRecord(
            String a,
            int b,
            @Since(3) List<String> c,
            @Since(3) boolean d) {}

    @Test
    void twoBuildsReadEachOther() throws ServiceException {
        Codec older = new Codec(Map.of(100, List.of(OlderRecord.class, ReplicationMessages.Acknowledgement.class)));
        Codec newer = new Codec(Map.of(100, List.of(NewerRecord.class, ReplicationMessages.Acknowledgement.class)));
        assertEquals(
                new NewerRecord("x", 7, List.of(), false),
                newer.read(older.write(new OlderRecord("x", 7)), NewerRecord.class));
        assertEquals(
                new OlderRecord("x", 7),
                older.read(newer.write(new NewerRecord("x", 7, List.of("more"), true)), OlderRecord.class));
    }
}
