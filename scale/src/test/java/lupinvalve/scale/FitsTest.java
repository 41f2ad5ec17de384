package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Lines are fitted to runs that differ in one size only; failed runs and repeated runs are excluded. */
class FitsTest {
    @TempDir
    private Path folder;

    private static SlopesFile.Run run(int poolers, int databases, Double cpu, String failed) {
        return new SlopesFile.Run(
                "members",
                "changes",
                poolers,
                databases,
                2,
                40,
                7,
                20,
                100,
                "abc",
                null,
                failed,
                1,
                0,
                0,
                0,
                0L,
                List.of(),
                cpu == null ? null : Map.of("leader_cpu_core", cpu));
    }

    @Test
    void lineThroughThreePointsHasTheExpectedCoefficients() {
        List<SlopesFile.Fit> fits = Fits.of(List.of(
                run(10, 100, 9.0, null),
                run(10, 100, 1.0, null),
                run(20, 100, 2.0, null),
                run(30, 100, 3.3, null),
                run(40, 100, null, "did not come up")));
        assertEquals(1, fits.size());
        SlopesFile.Fit fit = fits.get(0);
        assertEquals("pooler", fit.per());
        assertEquals(100, fit.databases());
        assertEquals(3, fit.points());
        assertEquals(0.115, fit.slope(), 1e-9);
        assertEquals(-0.2, fit.intercept(), 1e-9);
        assertEquals(Math.sqrt((0.05 * 0.05 * 2 + 0.1 * 0.1) / 3), fit.residual(), 1e-6);
    }

    @Test
    void databasesAreFittedAmongRunsWithTheSamePoolers() {
        List<SlopesFile.Fit> fits =
                Fits.of(List.of(run(10, 100, 1.0, null), run(10, 400, 4.0, null), run(20, 1200, 5.0, null)));
        assertEquals(1, fits.size());
        assertEquals("database", fits.get(0).per());
        assertEquals(0.01, fits.get(0).slope(), 1e-9);
        assertEquals(0, fits.get(0).residual(), 1e-9);
    }

    @Test
    void fileKeepsEachRun() throws Exception {
        Path file = folder.resolve("slopes.json");
        SlopesFile.read(file).with(run(10, 100, 1.0, null), "m", "n").write(file);
        SlopesFile.read(file).with(run(20, 100, 2.0, null), "m", "n").write(file);
        SlopesFile.read(file).with(run(20, 100, null, "stuck"), "m", "n").write(file);
        SlopesFile read = SlopesFile.read(file);
        assertEquals(3, read.runs().size());
        assertEquals("stuck", read.runs().get(2).failed());
        assertEquals(0.1, read.fits().get(0).slope(), 1e-9);
    }
}
