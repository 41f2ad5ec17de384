package lupinvalve.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against defaults for the values that divide the load among a fleet's poolers: with a wrong one, every pooler
 * sends more than its share. A missing or invalid value is an error that names it.
 */
class NodeConfigTest {
    @TempDir
    private Path folder;

    private Path exampleWith(String from, String to) throws IOException {
        String text = Files.readString(Path.of("example/config.json"));
        String modified = text.replaceFirst(from, to);
        assertTrue(!text.equals(modified), from);
        return Files.writeString(folder.resolve("config.json"), modified);
    }

    private void assertRejected(String from, String to, String... expectedParts) throws IOException {
        Path file = exampleWith(from, to);
        String message = assertThrows(IOException.class, () -> NodeConfig.read(file, null))
                .getMessage();
        assertTrue(message.startsWith(file.toString()), message);
        for (String part : expectedParts) {
            assertTrue(message.contains(part), message);
        }
    }

    @Test
    void indexAndCountOfPoolersAreChecked() throws IOException {
        assertRejected("\"n_instances\": *[0-9]+", "\"n_instances\": 0", "n_instances", "0");
        assertRejected("\"n_instances\": *[0-9]+", "\"n_instances\": \"many\"", "n_instances");
        assertRejected("\"n_instances\": *[0-9]+,", "", "n_instances", "missing");
        assertRejected("\"me\": *[0-9]+", "\"me\": 7", "me 7");
        assertRejected("\"me\": *[0-9]+,", "", "me", "missing");
        assertRejected("\"cores\": *[0-9.]+", "\"cores\": 0", "limits.cores", "0");
    }

    @Test
    void knownListIsReadWithZonesOfTheSettingsThatFollowIt() throws IOException {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("\"almaty-main\"", "\"north\", \"south\"")
                .replace(
                        "\"members\": []",
                        "\"members\": [{\"id\": \"s-1\", \"host_port\": \"127.0.0.1:1\", \"locality\": \"south\","
                                + " \"cell\": 1, \"phase\": \"in_service\", \"up_since_ms\": 0}]");
        NodeConfig config = NodeConfig.read(Files.writeString(folder.resolve("config.json"), text), null);
        assertEquals(1, config.known().entries().get(0).endpoint().zone());
    }

    @Test
    void errorNamesFieldThatIsMissingOrInvalidAndItsValue() throws IOException {
        assertRejected("\"sockets\": *[0-9]+", "\"sockets\": \"many\"", "limits.sockets", "many");
        assertRejected("\"sockets\": *[0-9]+", "\"sockets\": 0", "limits.sockets", "0");
        assertRejected("\"memory_mb\": *[0-9]+", "\"memory_mb\": -3", "limits.memory_mb", "-3");
        assertRejected("\"memory_mb\": *[0-9]+", "\"memory_mb\": 99999999999", "limits.memory_mb", "99999999999");
        assertRejected("\"listen\": \"[^\"]*\"", "\"listen\": \"here\"", "listen", "here");
        assertRejected("\"discovery\": \"[^\"]*\"", "\"discovery\": \"there:x\"", "discovery", "there:x");
        assertRejected(
                "\"connect_timeout_us\": *[0-9]+", "\"connect_timeout_us\": 0", "ceilings", "connect_timeout_us", "0");
        assertRejected("\"keepalive_us\": *[0-9]+", "\"keepalive_us\": \"long\"", "ceilings", "keepalive_us", "long");
        assertRejected("\"attempts_cap\": *[0-9]+", "\"attempts_cap\": 0", "ceilings.attempts_cap", "0");
        assertRejected("\"attempts_cap\": *[0-9]+", "\"attempts_cap\": 2.5", "attempts_cap", "2.5");
        assertRejected("\"may_cancel\": *true", "\"may_cancel\": \"yes\"", "may_cancel", "yes");
        assertRejected("\"aim_us\": *600000", "\"aim_us\": -1", "classes.aim_us", "bag-status", "-1");
        assertRejected("\"deadline_us\": *1200000", "\"deadline_us\": 0", "classes.deadline_us", "own-order-view", "0");
        assertRejected("\"key_ttl_us\": *5000000", "\"key_ttl_us\": -5", "classes.key_ttl_us", "-5");
        assertRejected("\"effect\": *\"unsafe\"", "\"effect\": \"harmless\"", "effect", "harmless");
        assertRejected("\"group\": *\"all\"", "\"group\": \"street\"", "group", "street");
        assertRejected("\"own-order-view\"", "\"bag-status\"", "classes.name", "bag-status");
        assertRejected("\"causal\"", "\"casual\"", "class_read", "casual");
        assertRejected("\"cold_from\": *[0-9.]+", "\"cold_from\": 1.5", "guarantees.cold_from", "1.5");
        assertRejected("\"fall_multiple\": *[0-9.]+", "\"fall_multiple\": 0", "guarantees.fall_multiple", "0");
        assertRejected(
                "\"stop_sending_within_us\": *[0-9]+,?",
                "\"stop_sending_within_us\": null",
                "stop_sending_within_us",
                "missing");
        assertRejected("\"cross_zone\": *[0-9.]+", "\"cross_zone\": -0.1", "prices.cross_zone", "-0.1");
        assertRejected("\"server_checks\": *\"bounce\"", "\"server_checks\": \"ask\"", "server_checks", "ask");
        assertRejected("\"zone\": *0", "\"zone\": -1", "zone", "-1");
    }

    @Test
    void settingsOfOtherInstallationsAreAccepted() throws IOException {
        String text = Files.readString(Path.of("example/config.json"));
        for (String[] change : new String[][] {
            {"\"bag-status\"", "\"stock by site; no. 1/2 \u00fc\""},
            {"\"aim_us\": 600000", "\"aim_us\": 50000"},
            {"\"deadline_us\": 2000000", "\"deadline_us\": 100000"},
            {"\"deadline_us\": 1200000", "\"deadline_us\": 600000000"},
            {"\"key_ttl_us\": 5000000", "\"key_ttl_us\": 0"},
            {"\"attempts_cap\": 6", "\"attempts_cap\": 1"},
            {"\"max_open\": 33687", "\"max_open\": 1"},
            {"\"probe\": 0.039", "\"probe\": 0"},
            {"\"may_probe\": true", "\"may_probe\": false"},
            {"\"via\": \"piggyback\"", "\"via\": \"silent\""},
            {"\"role_listed\": \"trailing\"", "\"role_listed\": \"never\""},
            {"\"almaty-main\"", ""},
            {"\"worth\": 1.0", "\"worth\": 0"},
            {"\"retry_after\": true", "\"retry_after\": false"}
        }) {
            assertTrue(text.contains(change[0]), change[0]);
            NodeConfig.read(Files.writeString(folder.resolve("config.json"), text.replace(change[0], change[1])), null);
        }
        String fewer =
                text.replaceFirst("(?s)\"projects\": \\[.*?\\],", "").replaceFirst("(?s)\"dcs\": \\[.*?\\],", "");
        assertTrue(fewer.length() < text.length() - 200);
        NodeConfig.read(Files.writeString(folder.resolve("config.json"), fewer), null);
    }

    @Test
    void adminAddressIsCheckedAndVariableTakesPrecedenceOverFile() throws IOException {
        for (String value : new String[] {
            "\"nowhere\"",
            "\"127.0.0.1\"",
            "\"127.0.0.1:\"",
            "\"127.0.0.1:70000\"",
            "\"ops.example:9600\"",
            "\"\"",
            "9600",
            "{}"
        }) {
            assertRejected(
                    "\\{",
                    "{\"operator\": " + value + ",",
                    "operator",
                    value.replace("\"", "").replace("{}", ""));
        }
        NodeConfig plain = NodeConfig.read(exampleWith("\"n0\"", "\"n9\""), null);
        assertEquals(null, plain.operator());
        assertEquals(null, plain.withOperator("NODE_OPERATOR", "").operator());
        NodeConfig file = NodeConfig.read(exampleWith("\\{", "{\"operator\": \"127.0.0.1:9600\","), null);
        assertEquals(9600, file.operator().getPort());
        assertEquals(9600, file.withOperator("NODE_OPERATOR", null).operator().getPort());
        assertEquals(
                9601,
                file.withOperator("NODE_OPERATOR", "127.0.0.2:9601").operator().getPort());
        String message = assertThrows(IOException.class, () -> file.withOperator("NODE_OPERATOR", "there"))
                .getMessage();
        assertEquals("NODE_OPERATOR: there is no address and port", message);
    }

    @Test
    void expectedRateIsSumOfTenantSharesDividedByPoolers() throws IOException {
        Path file = exampleWith("\"n_instances\": *[0-9]+", "\"n_instances\": 4");
        assertEquals(292 / 4.0, NodeConfig.read(file, null).site().ratePerSecond());
    }
}
