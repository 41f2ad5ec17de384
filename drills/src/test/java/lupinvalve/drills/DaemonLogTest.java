package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Which lines of a daemon's log report a fault of the daemon. */
class DaemonLogTest {
    @Test
    void errorsAndOwnConnectionEndsWithRequestsDueAreFaults() {
        assertEquals(
                "ERROR core: java.lang.IllegalStateException",
                DaemonLog.fault("2026 ERROR core: java.lang.IllegalStateException"));
        assertEquals(
                "client 127.0.0.1:1 ended: to make room; open 110 ms, 2 requests due",
                DaemonLog.fault("WARN client 127.0.0.1:1 ended: to make room; open 110 ms, 2 requests due"));
        assertEquals(
                "3 clients are sent away (open 1 to 2 ms, 1 requests due)",
                DaemonLog.fault("INFO clients ended: 5 to make room (open 1 to 2 ms, 0 requests due); "
                        + "3 clients are sent away (open 1 to 2 ms, 1 requests due)"));
    }

    @Test
    void endsByClientsAndConfigurationErrorsAreNoFaults() {
        assertNull(DaemonLog.fault("INFO client 127.0.0.1:1 ended: to make room; open 110 ms, nothing due"));
        assertNull(DaemonLog.fault("WARN client 127.0.0.1:1 ended: by the client; open 110 ms, 2 requests due"));
        assertNull(
                DaemonLog.fault(
                        "INFO clients ended: 5 to make room (open 1 to 2 ms, 0 requests due); 7 it broke (open 1 to 2 ms, 9 requests due)"));
        assertNull(DaemonLog.fault("ERROR configuration: the old one stays unless the files are usable within 3 s"));
    }
}
