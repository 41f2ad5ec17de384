package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Optional features have no cost where they are off: a pooler without a store loads no class of the control plane. */
class OffOnThePlatformTest {
    @TempDir
    private Path folder;

    @Test
    void noControlPlaneClassIsLoadedWithoutAStore() throws Exception {
        Path loadedClasses = folder.resolve("loaded");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        "-Xlog:class+load=info:file=" + loadedClasses,
                        "lupinvalve.cli.Main",
                        "rehearse",
                        "--config",
                        "example/config.json")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), Files.readString(folder.resolve("out")));
        List<String> lines = Files.readAllLines(loadedClasses);
        assertTrue(lines.stream().anyMatch(line -> line.contains("lupinvalve.core.Pooler ")));
        assertEquals(
                List.of(),
                lines.stream()
                        .filter(line -> line.contains("lupinvalve.replication")
                                || line.contains("lupinvalve.subscription")
                                || line.contains("lupinvalve.statemachine")
                                || line.contains("lupinvalve.audit")
                                || line.contains("io.microraft")
                                || line.contains("dataformat.cbor")
                                || line.contains("mina.filter.ssl"))
                        .toList());
    }
}
