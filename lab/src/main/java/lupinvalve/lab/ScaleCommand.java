package lupinvalve.lab;

import java.io.PrintStream;
import lupinvalve.scale.Scale;
import lupinvalve.scale.ScaleOptions;

/**
 * Runs the control code of hundreds of poolers against real control members and compares the cost with the operators'
 * budgets.
 */
public final class ScaleCommand extends ScaleOptions implements Lab.Command {
    @Override
    public int run(PrintStream out) throws Exception {
        try {
            return Scale.run(this, out);
        } catch (BadValue e) {
            throw new Lab.BadInput("scale: " + e.getMessage());
        }
    }
}
