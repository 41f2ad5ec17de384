package lupinvalve.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.discovery.EndpointListReader;
import lupinvalve.replication.MessageSizes;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** The constants and message sizes on which the page rests equal those of the program. */
class CodeFactsTest {
    private static final double MICROS_PER_SECOND = 1e6;

    private static double constant(String type, String name) throws ReflectiveOperationException {
        Field field = Class.forName(type).getDeclaredField(name);
        field.setAccessible(true);
        return ((Number) field.get(null)).doubleValue();
    }

    @Test
    void groupConstantsEqualTheProgram() throws ReflectiveOperationException {
        String group = "lupinvalve.replication.";
        assertEquals(
                CodeFacts.HEARTBEATS_PER_SECOND,
                constant(group + "AcceleratedExecutor", "FACTOR")
                        / constant(group + "RaftReplica", "HEARTBEAT_SECONDS"));
        assertEquals(
                CodeFacts.CONFIRMS_PER_SECOND,
                MICROS_PER_SECOND / constant(group + "LeaseGrantor", "CONFIRM_INTERVAL_MICROS"));
        assertEquals(
                CodeFacts.CONNECTION_HEARTBEATS_PER_SECOND,
                MICROS_PER_SECOND / constant(group + "PeerConnections", "HEARTBEAT_INTERVAL_MICROS"));
        assertEquals(
                CodeFacts.MAX_ACCEPTED_CONNECTIONS, constant(group + "PeerConnections", "MAX_ACCEPTED_CONNECTIONS"));
        assertEquals(CodeFacts.MAX_SUBSCRIBERS, constant(group + "SubscriptionServer", "SUBSCRIBERS_MAX_COUNT"));
        assertEquals(
                CodeFacts.MEMBERSHIP_STEP_SECONDS,
                constant(group + "MembershipChanges", "STEP_INTERVAL_MICROS") / MICROS_PER_SECOND);
        assertEquals(
                CodeFacts.BATCH_DELAY_SECONDS,
                constant("lupinvalve.statemachine.SessionCommitBatcher", "BATCH_DELAY_MICROS") / MICROS_PER_SECOND);
    }

    @Test
    void routingConstantsEqualTheProgram() throws ReflectiveOperationException {
        assertEquals(CodeFacts.INITIAL_ATTEMPTS, constant("lupinvalve.routing.InFlightLimit", "INITIAL_ATTEMPTS"));
        assertEquals(
                CodeFacts.SAMPLE_DECAY_SECONDS,
                constant("lupinvalve.routing.DecayingMean", "DECAY_TIME_MICROS") / MICROS_PER_SECOND);
        assertEquals(CodeFacts.MAX_SAMPLES, constant("lupinvalve.routing.DecayingMean", "MAX_SAMPLES"));
        assertEquals(
                CodeFacts.COLD_ATTEMPTS,
                constant("lupinvalve.routing.SlowStart", "NO_WARM_SERVER_EXPECTED_ADMISSIONS"));
        assertEquals(
                CodeFacts.PROBES_PER_REQUEST,
                constant("lupinvalve.routing.HealthChecker", "SPARSE_BUDGET_PER_REQUEST_CHECKS"));
        assertEquals(
                CodeFacts.PRIMARY_CHECK_ROUND_SECONDS,
                constant("lupinvalve.routing.PrimarySearch", "CHECK_ROUND_MICROS") / MICROS_PER_SECOND);
        assertEquals(
                CodeFacts.MIN_SURPLUS_IDLE_SECONDS,
                constant("lupinvalve.net.Pool", "SURPLUS_IDLE_MIN_MICROS") / MICROS_PER_SECOND);
    }

    @Test
    void discoveryConstantsEqualTheProgram() throws ReflectiveOperationException {
        String schedule = "lupinvalve.discovery.WatchSchedule";
        assertEquals(CodeFacts.WATCH_HEARTBEAT_SECONDS, constant(schedule, "HEARTBEAT_MICROS") / MICROS_PER_SECOND);
        assertEquals(
                CodeFacts.WATCH_SUSPECT_SECONDS,
                constant(schedule, "SUSPECT_AFTER_SILENCE_MICROS") / MICROS_PER_SECOND);
        assertEquals(
                CodeFacts.WATCH_RESPONSE_TIMEOUT_SECONDS,
                constant(schedule, "SUSPECT_UNANSWERED_MICROS") / MICROS_PER_SECOND);
        assertEquals(
                CodeFacts.MAX_LIST_BYTES, constant("lupinvalve.discovery.HttpEndpointDiscovery", "MAX_ANSWER_BYTES"));
    }

    @Test
    void endpointListIntervalEqualsTheProgram() throws Exception {
        String shared = Files.readString(Path.of("daemon/src/main/java/lupinvalve/cli/Shared.java"));
        assertTrue(shared.contains(
                "REFRESH = " + String.format("%.0f_000_000", CodeFacts.ENDPOINT_LIST_INTERVAL_SECONDS)));
    }

    @Test
    void messageSizesEqualTheEncodersOutput() {
        assertAll(
                () -> assertEquals(CodeFacts.HEARTBEAT_BYTES, MessageSizes.heartbeat(), "heartbeat"),
                () -> assertEquals(
                        CodeFacts.HEARTBEAT_RESPONSE_BYTES, MessageSizes.heartbeatResponse(), "its response"),
                () -> assertEquals(CodeFacts.LEASE_REQUEST_BYTES, MessageSizes.leaseRequest(), "lease request"),
                () -> assertEquals(CodeFacts.LEASE_RESPONSE_BYTES, MessageSizes.leaseResponse(), "its response"),
                () -> assertEquals(CodeFacts.WATCH_REQUEST_BYTES, MessageSizes.watchRequest(), "watch request"),
                () -> assertEquals(CodeFacts.WATCH_RESPONSE_BYTES, MessageSizes.watchResponse(), "its response"),
                () -> assertEquals(CodeFacts.SESSION_COMMIT_BYTES, MessageSizes.sessionCommit(), "session commit"),
                () -> assertEquals(CodeFacts.AUDIT_ENTRIES_BYTES, MessageSizes.auditEntries(), "audit entries"),
                () -> assertEquals(CodeFacts.GROUP_LIST_ENTRY_BYTES, MessageSizes.groupListEntry(), "listed db node"),
                () -> assertEquals(
                        CodeFacts.CONNECTION_HEARTBEAT_BYTES,
                        MessageSizes.connectionHeartbeat(),
                        "connection heartbeat"));
    }

    /**
     * Discovery is a separate program: its entry is an example in the format that the reader accepts, with all fields
     * that it reads.
     */
    @Test
    void discoveryListEntryIsAcceptedByTheReader() throws Exception {
        String entry =
                "{\"id\":\"node-1042\",\"host_port\":\"10.17.3.142:5432\",\"locality\":\"region-1-zone-b\",\"cell\":173,"
                        + "\"phase\":\"in_service\",\"rank\":\"replica\",\"size\":1.0,\"up_since_ms\":1796169600000}";
        String list = "{\"revision\":1,\"complete\":true,\"members\":[" + entry + "]}";
        EndpointListReader.EndpointList read =
                new EndpointListReader(List.of("region-1-zone-b"), null).read(list.getBytes(UTF_8), 0, list.length());
        assertEquals(EndpointState.LIVE, read.entries().get(0).endpoint().state());
        assertEquals(CodeFacts.DISCOVERY_LIST_ENTRY_BYTES, entry.length() + 1, "entry and comma");
    }
}
