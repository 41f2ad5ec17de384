package lupinvalve.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

/** The command: one run, or the runs of all sizes. */
public final class Scale {
    private Scale() {}

    /**
     * Runs what the options say and gives the exit code: 0 where all is within its budget and nothing was found wrong.
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
                progress.say("kept: " + run.folder());
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
