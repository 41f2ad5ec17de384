package lupinvalve.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A member has a listen address, a subscriber has none; the error for a conflicting field names field and value. */
class StoreRoleTest {
    private static OperatorConfig.Store store(String moreFields) throws IOException {
        return OperatorConfig.read(("{\"store\":{\"name\":\"s\",\"folder\":\"f\",\"members\":{\"a\":\"127.0.0.1:1\"}"
                                + moreFields + "}}")
                        .getBytes(StandardCharsets.UTF_8))
                .store();
    }

    private static void assertRejected(String moreFields, String expected) {
        assertEquals(
                "operator's file: " + expected,
                assertThrows(IOException.class, () -> store(moreFields)).getMessage());
    }

    @Test
    void subscriberRejectsListenAddressAndMajorityWait() throws IOException {
        OperatorConfig.Store subscriber = store(",\"role\":\"subscriber\",\"audit\":\"fence\"");
        assertEquals(OperatorConfig.Role.SUBSCRIBER, subscriber.role());
        assertNull(subscriber.listen());
        assertEquals(
                OperatorConfig.Role.MEMBER, store(",\"listen\":\"127.0.0.1:1\"").role());
        assertEquals(
                OperatorConfig.Role.MEMBER,
                store(",\"listen\":\"127.0.0.1:1\",\"role\":\"member\"").role());
        assertRejected("", "store.listen is missing");
        assertRejected(",\"role\":\"learner\"", "store.role is learner; member and subscriber are possible");
        assertRejected(
                ",\"role\":\"subscriber\",\"listen\":\"127.0.0.1:1\"",
                "store.listen is 127.0.0.1:1; a subscriber listens nowhere");
        assertRejected(
                ",\"role\":\"subscriber\",\"wait_for_majority_ms\":5",
                "store.wait_for_majority_ms is 5; a subscriber tells the group of no commits");
    }
}
