package lupinvalve.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

/** Entry point of the scale command: a single run, or one run per fleet size. */
public final class Scale {
    private Scale() {}

    /**
     * Runs what the options describe and returns the exit code: 0 if every metric is within its budget and no check
     * failed.
     */
    public static int run(ScaleOptions options, PrintStream out)
            throws IOException, InterruptedException, ScaleOptions.BadValue {
        options.check();
        if (options.slopes != null) {
            return new Slopes(options, out).run();
        }
        Progress progress = new Progress(options.json);
        try (ScaleRun run = new ScaleRun(options.spec(), progress)) {
            RunResult result = run.run();
            if (options.keep) {
                progress.say("kept the logs and disks in " + run.folder());
            }
            out.println(result.json());
            return result.good() ? 0 : 1;
        } catch (IOException e) {
            out.println(Json.line(Map.of(
                    "poolers",
                    options.poolers,
                    "databases",
                    options.databases,
                    "seed",
                    options.seed,
                    "failed",
                    String.valueOf(e.getMessage()))));
            return 1;
        }
    }
}
