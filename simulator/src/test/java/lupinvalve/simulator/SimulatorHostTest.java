package lupinvalve.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Passes batches of wire messages through a host and checks its replies and its errors. */
class SimulatorHostTest {
    private static final String ENV = "{\"me\":0,\"n_instances\":2,\"zone\":0,\"registry_mode\":\"subscribe\","
            + "\"unknown\":[1],\"classes\":[{\"name\":\"r\",\"aim_us\":200000,\"deadline_us\":800000,"
            + "\"effect\":\"safe\",\"group\":\"all\",\"worth\":1.0,\"late_value\":0.2}],"
            + "\"ceilings\":{\"attempts_cap\":5,\"may_probe\":true,\"may_cancel\":true,\"retry_after\":true,"
            + "\"max_retry_after_us\":1000000},\"guarantees\":{\"answer_slack_us\":8000,"
            + "\"ask_within_us\":10000000,\"cold_from\":0.2,\"fall_multiple\":2,\"fall_us\":1500000,"
            + "\"ramp_time_us\":9000000,\"stop_sending_within_us\":2000000},\"specifics\":{\"class_read\":"
            + "[\"eventual\"],\"oldest_data_us\":[0],\"server_checks\":\"await\",\"session_marks\":\"kept\","
            + "\"wait_us\":50000,\"origin_time_us\":0}}";
    private static final String START_ROUTER = "{\"msg\":\"UP\",\"who\":3,\"entropy\":1,\"env\":" + ENV + "}";
    private static final String DEFINE_AND_SEND_LIST =
            "{\"msg\":\"DEFINE_LIST\",\"list\":0,\"lines\":[{\"primary\":0,\"db\":1,"
                    + "\"born_us\":null,\"node\":\"n:1\",\"dc\":0,\"health\":\"live\"}]},"
                    + "{\"msg\":\"ROSTER_CHANGE\",\"who\":3,\"form\":\"restored\",\"seq_no\":1,\"list\":0}";
    private static final String REQUEST = "{\"who\":3,\"msg\":\"CALL\",\"rid\":\"00000000000000aa\",\"cls\":0,"
            + "\"group_no\":1,\"expires_in_us\":800000}";

    private static String batch(long timeMicros, String... messages) {
        return "{\"time_us\":" + timeMicros + ",\"news\":[" + String.join(",", messages) + "]}\n";
    }

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost().run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchGetsEmptyReply() throws IOException {
        assertEquals("{\"do\":[]}\n", run(batch(5)));
    }

    @Test
    void requestIsSentToListedNode() throws IOException {
        String[] replies = run(batch(1_000_000, START_ROUTER, DEFINE_AND_SEND_LIST) + batch(1_002_000, REQUEST))
                .split("\n");
        assertEquals(2, replies.length);
        assertTrue(replies[0].contains("\"msg\":\"TAIL\""));
        assertTrue(replies[1].contains("{\"msg\":\"CALL_OUT\",\"who\":3,\"rid\":\"00000000000000aa\""), replies[1]);
        assertTrue(replies[1].contains("\"node\":\"n:1\""));
    }

    @Test
    void reusedListNumberRefersToLatestDefinitionBeforeIt() throws IOException {
        String secondList = DEFINE_AND_SEND_LIST.replace("n:1", "n:2").replace("restored", "replace");
        String[] replies = run(batch(1, START_ROUTER, DEFINE_AND_SEND_LIST, secondList) + batch(2, REQUEST))
                .split("\n");
        assertTrue(replies[1].contains("n:2"));
    }

    @Test
    void eventForStoppedRouterIsRejected() {
        WireException error = assertThrows(
                WireException.class,
                () -> run(batch(1, START_ROUTER, DEFINE_AND_SEND_LIST)
                        + batch(2, "{\"msg\":\"DOWN\",\"who\":3}")
                        + batch(3, REQUEST)));
        assertTrue(error.getMessage().contains("who"));
    }

    @Test
    void errorsNameMessageAndField() {
        assertError("batch", "JSON", "not json\n");
        assertError("batch", "time_us", "{\"news\":[]}\n");
        assertError(
                "CALL", "rid", batch(1, START_ROUTER, DEFINE_AND_SEND_LIST, "{\"msg\":\"CALL\",\"who\":3,\"cls\":0}"));
        assertError(
                "CALL",
                "cls",
                batch(1, START_ROUTER, DEFINE_AND_SEND_LIST, REQUEST.replace("\"cls\":0", "\"cls\":\"x\"")));
        assertError(
                "ROSTER_CHANGE",
                "list",
                batch(1, START_ROUTER, DEFINE_AND_SEND_LIST.replace("\"seq_no\":1,\"list\":0", "\"list\":9")));
        assertError("UP", "cold_from", batch(1, START_ROUTER.replace("\"cold_from\":0.2,", "")));
        assertError("UP", "aim_us", batch(1, START_ROUTER.replace("\"aim_us\":200000", "\"aim_us\":-1")));
    }

    private static void assertError(String message, String field, String input) {
        WireException error = assertThrows(WireException.class, () -> run(input));
        assertTrue(error.getMessage().contains(message) && error.getMessage().contains(field), error.getMessage());
    }
}
