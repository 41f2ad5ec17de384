package lupinvalve.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The databases in a group's configuration: the error for an invalid entry names field and value. */
class DatabaseTest {
    private static final String ENTRY =
            "{\"name\":\"orders\",\"group\":\"g1\",\"zone\":\"z1\",\"primary\":\"10.0.0.1:5432\","
                    + "\"replicas\":[\"10.0.1.1:5432\",\"[fd00::1]:5432\"],\"connection_limit\":40,\"statement_timeout_ms\":30000}";

    private static String validationError(String entries) {
        return OperatorConfig.validationError(("{\"databases\":[" + entries + "]}").getBytes(UTF_8))
                .orElse(null);
    }

    private static void assertRejected(String from, String to, String expected) {
        assertEquals("operator's file: " + expected, validationError(ENTRY.replace(from, to)));
    }

    @Test
    void databasesAreReadAndKeptInAcceptedConfiguration() throws IOException {
        byte[] document = ("{\"databases\":[" + ENTRY + "]}").getBytes(UTF_8);
        List<Database> expected = List.of(new Database(
                "orders", "g1", "z1", "10.0.0.1:5432", List.of("10.0.1.1:5432", "[fd00::1]:5432"), 40, 30_000));
        assertEquals(Optional.empty(), OperatorConfig.validationError(document));
        assertEquals(expected, OperatorConfig.read(document).databases());
        assertEquals(expected, OperatorConfig.NONE.accepted(document).databases());
        assertEquals(List.of(), OperatorConfig.read("{}".getBytes(UTF_8)).databases());
    }

    @Test
    void errorNamesFieldAndValue() {
        assertRejected(
                "\"orders\"",
                "\"or ders\"",
                "databases[0].name is or ders; 1 to 63 letters, digits, ., - and _ are possible");
        assertRejected("\"orders\"", "7", "databases[0].name is 7; not a text");
        assertRejected("\"name\":\"orders\",", "", "databases[0].name is missing");
        assertRejected("\"10.0.0.1:5432\"", "\"10.0.0.1\"", "databases[0].primary is 10.0.0.1; no address with a port");
        assertRejected("\"10.0.1.1:5432\"", "\"x\"", "databases[0].replicas[0] is x; no address with a port");
        assertRejected("10.0.1.1:5432", ":5432", "databases[0].replicas[0] is :5432; no address with a port");
        assertRejected("10.0.1.1:5432", "a b:5432", "databases[0].replicas[0] is a b:5432; no address with a port");
        assertRejected("10.0.1.1:5432", "db:", "databases[0].replicas[0] is db:; no address with a port");
        assertRejected("10.0.1.1:5432", "db:543210", "databases[0].replicas[0] is db:543210; no address with a port");
        assertRejected(
                "[fd00::1]:5432", "[fg::1]:5432", "databases[0].replicas[1] is [fg::1]:5432; no address with a port");
        assertRejected(
                "[fd00::1]:5432", "fd00::1:5432", "databases[0].replicas[1] is fd00::1:5432; no address with a port");
        assertRejected("40", "-1", "databases[0].connection_limit is -1; 0 to 100000 are possible");
        assertRejected("40", "100001", "databases[0].connection_limit is 100001; 0 to 100000 are possible");
        assertRejected("30000", "\"soon\"", "databases[0].statement_timeout_ms is soon; 0 to 86400000 are possible");
        assertRejected("\"zone\"", "\"zones\"", "databases[0].zones is unknown");
        assertEquals("operator's file: databases[1].name is orders; named twice", validationError(ENTRY + "," + ENTRY));
        assertEquals("operator's file: databases[0] is 3; not an object", validationError("3"));
    }
}
