package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** Guards against a process that listens and serves nobody, as one of its threads has ended with an error. */
class ThreadFailureTest {
    private static final int EXIT_INTERNAL_ERROR = 70;
    private static final long EXIT_SECONDS = 10;

    /** Guards against a drain that waits for connections which only the ended thread could close. */
    @Test
    void processEndsOnceTheIoThreadOfItsClientsHasEnded() throws Exception {
        assertEnds("Processor-1");
    }

    /** Guards against a drain without a time limit after an error: a client that reads nothing would hold it up. */
    @Test
    void processEndsThoughItsDrainDoesNot() throws Exception {
        assertEnds("ReadProgress-1");
    }

    private static void assertEnds(String thread) throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.value = "v".repeat(4 << 20);
        try (World world = new World(OperatorConfig.NONE, primary, new DbNode("s-2", false));
                Program program = Program.serveBy(ServeThenEndThread.class, world.config(world.discovery, 1024))) {
            String line = program.until("listens on");
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            try (Socket client = World.raw(port, PlatformTest.booking("a", 900), PlatformTest.booking("b", 900))) {
                World.await("the requests were executed", () -> primary.runs.size() == 2);
                program.sendLine(thread);
                assertEquals(EXIT_INTERNAL_ERROR, program.exit(EXIT_SECONDS));
                client.setSoTimeout(1);
            }
        }
    }
}
