package lupinvalve.statemachine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Guards the encoding: bytes that released versions have stored or sent must be written and read unchanged. */
class StoredFormatTest {
    private static final Command PUT_FIRST = new Command.PutDocument(0, bytes("{}"));

    private static final Map<String, Command> COMMANDS = Map.of(
            "00",
            new Command.NoOp(),
            "0103427b7d",
            new Command.PutDocument(3, bytes("{}")),
            "02f46464622d31646469736b1a000f4240",
            new Command.StartDrain(new Command.DrainTarget(Command.TargetKind.NODE, "db-1"), "disk", 1_000_000),
            "03f563702d31",
            new Command.EndDrain(new Command.DrainTarget(Command.TargetKind.POOLER, "p-1")),
            "041a001e84800263732d311a0016e36063732d321a00186a00",
            new Command.SessionCommits(2_000_000, Map.of("s-1", 1_500_000L, "s-2", 1_600_000L)),
            "0507016464622d31010001f51a004c4b40182a02656d7973716c6b3132372e302e302e313a32"
                    + "6270676b3132372e302e302e313a31",
            new Command.EndpointList(
                    7,
                    List.of(new Command.KnownEndpoint(
                            new Endpoint("db-1", 1, 0, EndpointState.DRAINING, true, 5_000_000),
                            Map.of("pg", "127.0.0.1:1", "mysql", "127.0.0.1:2"),
                            42))),
            "06636d2d316a31302e302e302e313a39",
            new Command.SetMemberAddress("m-1", "10.0.0.1:9"),
            "0763702d310b0502426535426536",
            new Command.AppendAudit("p-1", 11, 5, List.of(bytes("e5"), bytes("e6"))));

    private static final List<String> SNAPSHOT = List.of(
            "02091a001e8480f50101427b7d01f46464622d31646469736b1a000f424001636d2d316a31302e302e302e313a39"
                    + "07016464622d31010001f51a004c4b40182a02656d7973716c6b3132372e302e302e313a32"
                    + "6270676b3132372e302e302e313a3101",
            "0268702d312f31312f3542653568702d312f31312f36426536",
            "0263732d311a0016e36063732d321a00186a00");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void commandsKeepTheirEncoding() throws IOException {
        for (Map.Entry<String, Command> stored : COMMANDS.entrySet()) {
            assertEquals(stored.getKey(), hex(CommandCodec.encode(stored.getValue())));
            Command decoded = CommandCodec.decode(HexFormat.of().parseHex(stored.getKey()));
            assertEquals(stored.getValue().getClass(), decoded.getClass());
            assertEquals(stored.getKey(), hex(CommandCodec.encode(decoded)));
        }
    }

    @Test
    void snapshotsKeepTheirEncoding() throws IOException {
        ReplicatedState state = new ReplicatedState();
        List<Command> commands = new ArrayList<>(List.of(PUT_FIRST));
        COMMANDS.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue)
                .forEach(commands::add);
        for (int i = 0; i < commands.size(); i++) {
            state.apply(i + 1, commands.get(i));
        }
        assertEquals(
                SNAPSHOT,
                SnapshotCodec.encode(state).stream().map(StoredFormatTest::hex).toList());
        ReplicatedState restored = new ReplicatedState();
        SnapshotCodec.restore(
                restored, SNAPSHOT.stream().map(HexFormat.of()::parseHex).toList());
        assertEquals(
                SNAPSHOT,
                SnapshotCodec.encode(restored).stream()
                        .map(StoredFormatTest::hex)
                        .toList());
    }

    @Test
    void announcementsKeepTheirEncoding() throws IOException {
        ClusterBootstrap.Announcement announcement = new ClusterBootstrap.Announcement(
                new MemberId("a", "d1"), ClusterBootstrap.Phase.JOINING, Set.of(new MemberId("b", "d2")));
        Cbor.Writer out = new Cbor.Writer();
        announcement.write(out);
        byte[] written = out.toByteArray();
        assertEquals("616162643103016162626432", hex(written));
        assertEquals(announcement, ClusterBootstrap.Announcement.read(new Cbor.Reader(written)));
    }
}
