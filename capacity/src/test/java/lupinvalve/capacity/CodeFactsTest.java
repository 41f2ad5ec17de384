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

/** What the page takes from the program itself is what the program says: its constants, and what its encoders make. */
class CodeFactsTest {
    private static final double MICROS = 1e6;

    private static double constant(String type, String name) throws ReflectiveOperationException {
        Field field = Class.forName(type).getDeclaredField(name);
        field.setAccessible(true);
        return ((Number) field.get(null)).doubleValue();
    }

    @Test
    void theGroupsPacesAndBoundsAreTheProgramsOwn() throws ReflectiveOperationException {
        String group = "lupinvalve.replication.";
        assertEquals(
                CodeFacts.HEARTBEATS_PER_SECOND,
                constant(group + "AcceleratedExecutor", "FACTOR")
                        / constant(group + "RaftReplica", "HEARTBEAT_SECONDS"));
        assertEquals(
                CodeFacts.CONFIRMS_PER_SECOND, MICROS / constant(group + "LeaseGrantor", "CONFIRM_INTERVAL_MICROS"));
        assertEquals(
                CodeFacts.BEATS_PER_SECOND, MICROS / constant(group + "PeerConnections", "HEARTBEAT_INTERVAL_MICROS"));
        assertEquals(CodeFacts.TAKEN_MOST, constant(group + "PeerConnections", "MAX_ACCEPTED_CONNECTIONS"));
        assertEquals(CodeFacts.FOLLOWERS_MOST, constant(group + "SubscriptionServer", "SUBSCRIBERS_MAX_COUNT"));
        assertEquals(
                CodeFacts.MEMBERSHIP_STEP_SECONDS,
                constant(group + "MembershipChanges", "STEP_INTERVAL_MICROS") / MICROS);
        assertEquals(
                CodeFacts.BUNDLE_SECONDS,
                constant("lupinvalve.statemachine.SessionCommitBatcher", "BATCH_DELAY_MICROS") / MICROS);
    }

    @Test
    void theDecisionsBoundsAreTheProgramsOwn() throws ReflectiveOperationException {
        assertEquals(CodeFacts.LIMIT_START, constant("lupinvalve.routing.InFlightLimit", "INITIAL_ATTEMPTS"));
        assertEquals(
                CodeFacts.MEMORY_SECONDS, constant("lupinvalve.routing.DecayingMean", "DECAY_TIME_MICROS") / MICROS);
        assertEquals(CodeFacts.ANSWERS_FOR_A_PICTURE, constant("lupinvalve.routing.DecayingMean", "MAX_SAMPLES"));
        assertEquals(
                CodeFacts.COLD_ALONE, constant("lupinvalve.routing.SlowStart", "NO_WARM_SERVER_EXPECTED_ADMISSIONS"));
        assertEquals(
                CodeFacts.PROBES_PER_REQUEST,
                constant("lupinvalve.routing.HealthChecker", "SPARSE_BUDGET_PER_REQUEST_CHECKS"));
        assertEquals(
                CodeFacts.CHANGE_PROBE_SECONDS,
                constant("lupinvalve.routing.PrimarySearch", "CHECK_ROUND_MICROS") / MICROS);
        assertEquals(
                CodeFacts.SURPLUS_LEAST_SECONDS, constant("lupinvalve.net.Pool", "SURPLUS_IDLE_MIN_MICROS") / MICROS);
    }

    @Test
    void discoverysPacesAreTheProgramsOwn() throws ReflectiveOperationException {
        String schedule = "lupinvalve.discovery.WatchSchedule";
        assertEquals(CodeFacts.WATCH_BEAT_SECONDS, constant(schedule, "HEARTBEAT_MICROS") / MICROS);
        assertEquals(CodeFacts.WATCH_DOUBTED_SECONDS, constant(schedule, "SUSPECT_AFTER_SILENCE_MICROS") / MICROS);
        assertEquals(CodeFacts.CALL_SECONDS, constant(schedule, "SUSPECT_UNANSWERED_MICROS") / MICROS);
        assertEquals(CodeFacts.LIST_MOST, constant("lupinvalve.discovery.HttpEndpointDiscovery", "MAX_ANSWER_BYTES"));
    }

    @Test
    void theListsPaceIsThatOfTheSharedPooler() throws Exception {
        String shared = Files.readString(Path.of("daemon/src/main/java/lupinvalve/cli/Shared.java"));
        assertTrue(shared.contains("REFRESH = " + String.format("%.0f_000_000", CodeFacts.LISTING_SECONDS)));
    }

    @Test
    void theSizesAreThoseOfTheProgramsOwnEncoders() {
        assertAll(
                () -> assertEquals(CodeFacts.HEARTBEAT, MessageSizes.heartbeat(), "heartbeat"),
                () -> assertEquals(CodeFacts.HEARTBEAT_ANSWER, MessageSizes.heartbeatAnswer(), "its answer"),
                () -> assertEquals(CodeFacts.LEASE_CALL, MessageSizes.leaseCall(), "lease call"),
                () -> assertEquals(CodeFacts.LEASE_ANSWER, MessageSizes.leaseAnswer(), "its answer"),
                () -> assertEquals(CodeFacts.FOLLOW, MessageSizes.follow(), "follow"),
                () -> assertEquals(CodeFacts.FOLLOW_ANSWER, MessageSizes.followAnswer(), "its answer"),
                () -> assertEquals(CodeFacts.COMMIT, MessageSizes.commit(), "commit"),
                () -> assertEquals(CodeFacts.NOTED, MessageSizes.noted(), "audit entries"),
                () -> assertEquals(CodeFacts.LISTED, MessageSizes.listed(), "listed db node"),
                () -> assertEquals(CodeFacts.BEAT, MessageSizes.beat(), "beat"));
    }

    /** Discovery is not ours: its entry is one in the form that the reader takes, with all fields that it reads. */
    @Test
    void theListsEntryIsOneThatTheReaderTakes() throws Exception {
        String entry =
                "{\"id\":\"node-1042\",\"host_port\":\"10.17.3.142:5432\",\"locality\":\"region-1-zone-b\",\"cell\":173,"
                        + "\"phase\":\"in_service\",\"rank\":\"replica\",\"size\":1.0,\"up_since_ms\":1796169600000}";
        String list = "{\"revision\":1,\"complete\":true,\"members\":[" + entry + "]}";
        EndpointListReader.EndpointList read =
                new EndpointListReader(List.of("region-1-zone-b"), null).read(list.getBytes(UTF_8), 0, list.length());
        assertEquals(EndpointState.LIVE, read.entries().get(0).endpoint().state());
        assertEquals(CodeFacts.LIST_ENTRY, entry.length() + 1, "entry and comma");
    }
}
