package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;

/** Usual clients of a real pooler on one core get their answers in time while others flood it. */
class FloodTest {
    private static final Path CONFIG = Path.of("example/config.json");
    private static final int FLOOD_CLIENTS = 6;
    private static final int USUAL_CLIENTS = 20;
    private static final int SECONDS = 4;
    private static final int SEED = 7;
    private static final String FIRST_CORE = "0";

    private static void assertAnsweredInTime(FloodKind kind) throws Exception {
        Assumptions.assumeTrue(Files.exists(Path.of("/usr/bin/taskset")), "no taskset: the pooler has all cores");
        FloodDrill.Setting setting =
                new FloodDrill.Setting(kind, FLOOD_CLIENTS, USUAL_CLIENTS, SECONDS, SEED, FIRST_CORE, CONFIG);
        try (FloodDrill drill = new FloodDrill(setting)) {
            FloodResult result = drill.play();
            assertTrue(result.good(FloodDrill.MEMORY_MEGABYTES), result::json);
        }
    }

    @Test
    void usualRequestsAreInTimeWithoutAFlood() throws Exception {
        assertAnsweredInTime(FloodKind.NONE);
    }

    @Test
    void emptyStatementsAtFullSpeedDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.EMPTY);
    }

    @Test
    void tlsRequestsAtFullSpeedDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.TLS);
    }

    @Test
    void answersThatAFloodDoesNotReadLeaveRoomForOtherClients() throws Exception {
        assertAnsweredInTime(FloodKind.UNREAD);
    }

    @Test
    void statementsWrittenByteByByteDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.TRICKLE);
    }

    @Test
    void headsOfManyShortFieldsDelayNoOtherClientAndStayWithinTheMemory() throws Exception {
        assertAnsweredInTime(FloodKind.FIELDS_SOUND);
    }

    @Test
    void validRequestsAtFullSpeedLeaveOthersTheirShare() throws Exception {
        assertAnsweredInTime(FloodKind.SOUND);
    }

    @Test
    void everNewConnectionsDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.CONNECT);
    }

    @Test
    void mysqlCommandsAtFullSpeedDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.MYSQL_PING);
    }

    @Test
    void queriesThatAreSlowToRecogniseDelayNoOtherClient() throws Exception {
        assertAnsweredInTime(FloodKind.MYSQL_VARIABLES);
    }
}
