package lupinvalve.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Only the tests that KNOWN-RED.txt lists may fail, and they must: tried on planted reports. */
class KnownRedTest {
    private static final String RED = "a.BadTest#fails; the cause; issue 1\n";

    @TempDir
    private Path root;

    @BeforeEach
    void plant() throws IOException {
        Path reports = Files.createDirectories(root.resolve("one/target/surefire-reports"));
        Files.writeString(
                reports.resolve("TEST-a.GoodTest.xml"),
                "<testsuite><testcase name=\"holds\" classname=\"a.GoodTest\"/>"
                        + "<testcase name=\"some(int)[1]\" classname=\"a.GoodTest\"/></testsuite>");
        Files.writeString(
                reports.resolve("TEST-a.BadTest.xml"),
                "<testsuite><testcase name=\"fails(int)[1]\" classname=\"a.BadTest\"/>"
                        + "<testcase name=\"fails(int)[2]\" classname=\"a.BadTest\"><failure message=\"no\">at</failure></testcase></testsuite>");
    }

    private String told(int exit) throws IOException, InterruptedException {
        Process run = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        Path.of(".ci/KnownRed.java").toAbsolutePath().toString(),
                        ".")
                .directory(root.toFile())
                .redirectErrorStream(true)
                .start();
        String out = new String(run.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(exit, run.waitFor(), out);
        return out;
    }

    private void list(String text) throws IOException {
        Files.writeString(root.resolve("KNOWN-RED.txt"), text);
    }

    @Test
    void withoutAListWhatFailsFails() throws Exception {
        assertTrue(told(1).contains("WRONG failed: a.BadTest#fails"));
        list("\n");
        assertTrue(told(1).contains("WRONG failed: a.BadTest#fails"));
        Files.delete(root.resolve("one/target/surefire-reports/TEST-a.BadTest.xml"));
        assertTrue(told(0).contains("2 passed, 0 failed"));
        Files.delete(root.resolve("one/target/surefire-reports/TEST-a.GoodTest.xml"));
        assertTrue(told(1).contains("no test ran"));
    }

    @Test
    void oneThatIsListedMayFailAndIsPrinted() throws Exception {
        list(RED);
        assertTrue(told(0).contains("known red: a.BadTest#fails failed: the cause; issue 1"));
    }

    @Test
    void oneThatPassesOrDoesNotExistMayNotBeListed() throws Exception {
        list(RED + "a.GoodTest#holds; the cause; issue 1\n");
        assertTrue(told(1).contains("lists a test that passes: a.GoodTest#holds"));
        list(RED + "a.GoodTest#other; the cause; issue 1\n");
        assertTrue(told(1).contains("lists a test that does not exist: a.GoodTest#other"));
    }

    @Test
    void aFourthLineOrOneWithoutACauseFails() throws Exception {
        list(RED + RED.replace("fails", "b") + RED.replace("fails", "c") + RED.replace("fails", "d"));
        assertTrue(told(1).contains("4 lines, 3 at most"));
        list("a.BadTest#fails\n");
        assertTrue(told(1).contains("not class#method; cause; issue"));
    }
}
