package lupinvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import org.junit.jupiter.api.Test;

/** What the log at its default level contains about client connections that have ended. */
class ClientEndLogTest {
    private final EventLoop loop = new EventLoop();
    private final ClientEndLog ends = new ClientEndLog(loop);
    private final Link link = new Link(loop, (bytes, from, to, out) -> to, null);

    private List<String> logged(Runnable work) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Log.setOutput(new PrintStream(output, true, StandardCharsets.UTF_8));
        Log.setThreadLevel(Log.Level.INFO);
        try {
            work.run();
        } finally {
            Log.setThreadLevel(null);
            Log.setOutput(System.err);
        }
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .map(line -> line.replaceFirst("^\\S+ ", "").replaceAll("\\d+ ms", "N ms"))
                .toList();
    }

    @Test
    void firstEndOfAReasonIsLoggedAtOnceAndRepeatsAreCounted() {
        List<String> lines = logged(() -> {
            for (int i = 0; i < 38; i++) {
                ends.ended(EndReason.MADE_ROOM, link, 0);
            }
            ends.ended(EndReason.CUT, link, 3);
            ends.ended(EndReason.CUT, link, 2);
        });
        assertEquals(
                List.of(
                        "INFO client ? ended: to make room; open N ms, nothing due",
                        "WARN client ? ended: a long answer broke off; open N ms, 3 requests due"),
                lines);
        String counted = ends.takeSummary();
        assertTrue(
                counted.matches("37 to make room \\(open \\d+ to \\d+ ms, 0 requests due\\); "
                        + "1 a long answer broke off \\(open \\d+ to \\d+ ms, 2 requests due\\)"),
                counted);
        assertEquals("", ends.takeSummary());
    }

    @Test
    void clientsThatCloseWithNothingUnansweredAreOnlyCounted() {
        assertEquals(List.of(), logged(() -> {
            ends.ended(EndReason.CLIENT_LEFT, link, 0);
            ends.ended(EndReason.GOODBYE, link, 0);
        }));
        assertEquals("", ends.takeSummary());
        assertEquals(
                List.of("WARN client ? ended: by the client; open N ms, 1 requests due"),
                logged(() -> ends.ended(EndReason.CLIENT_LEFT, link, 1)));
    }
}
