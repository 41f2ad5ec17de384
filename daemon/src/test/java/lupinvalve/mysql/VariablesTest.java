package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which queries are answered as queries for system variables. */
class VariablesTest {
    private static byte[][] answer(String query) {
        return Variables.answer(query, true, 0);
    }

    @Test
    void queriesForVariablesAreAnsweredInAllTheFormsOfDrivers() {
        assertNotNull(answer("SELECT @@version"));
        assertNotNull(answer(" select\n@@session.time_zone AS zone, @@sql_mode ; "));
        assertNotNull(answer("/* driver 1.0 */ SELECT @@version_comment LIMIT 1"));
        assertNotNull(answer("/**/select @@a  limit\t1 ;"));
    }

    @Test
    void otherQueriesAreNot() {
        assertNull(answer("SELECT 1"));
        assertNull(answer("SELECT @@"));
        assertNull(answer("SELECT@@version"));
        assertNull(answer("SELECT @@limit 1"));
        assertNull(answer("SELECT @@version limit1"));
        assertNull(answer("/* SELECT @@version"));
        assertNull(answer(""));
        assertNull(answer("SELECT @@version" + " ".repeat(5_000)));
    }

    /** Guards against one short query that occupies the core for a minute. */
    @Test
    void aQueryOfManySpacesTakesNoLongerThanAnother() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(2), () -> assertNull(answer("select @@" + " ".repeat(4_000) + "x y")));
    }
}
