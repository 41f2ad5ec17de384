package lupinvalve.lab;

import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Command line of the tests and measurements that are not part of the daemon. */
public final class Lab {
    /** A subcommand. */
    public interface Command {
        /** Runs the subcommand; returns the exit code. */
        int run(PrintStream out) throws Exception;
    }

    /** Invalid input on the command line; reported as a single line, with exit code 2. */
    static final class BadInput extends Exception {
        private static final long serialVersionUID = 1;

        BadInput(String message) {
            super(message);
        }
    }

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage =
                    "disk, faults, process-points, process-drill, soak, fleet-soak, flood, throughput, audit-drill, store-drill, store-bench, store-cost, scale or capacity",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "disk", impl = Disk.class),
        @SubCommand(name = "faults", impl = Faults.class),
        @SubCommand(name = "process-points", impl = ProcessPoints.class),
        @SubCommand(name = "process-drill", impl = ProcessDrill.class),
        @SubCommand(name = "soak", impl = SoakCommand.class),
        @SubCommand(name = "fleet-soak", impl = FleetSoakCommand.class),
        @SubCommand(name = "flood", impl = FloodCommand.class),
        @SubCommand(name = "throughput", impl = ThroughputCommand.class),
        @SubCommand(name = "audit-drill", impl = AuditDrillCommand.class),
        @SubCommand(name = "store-drill", impl = StoreDrill.class),
        @SubCommand(name = "store-bench", impl = StoreBench.class),
        @SubCommand(name = "store-cost", impl = StoreCost.class),
        @SubCommand(name = "scale", impl = ScaleCommand.class),
        @SubCommand(name = "capacity", impl = CapacityCommand.class)
    })
    private Command command;

    private Lab() {}

    /** Runs the subcommand that {@code args} name and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        Lab lab = new Lab();
        try {
            new CmdLineParser(lab).parseArgument(args);
        } catch (CmdLineException e) {
            err.println("lab: " + e.getMessage());
            if (args.length > 0 && args[0].equals("scale")) {
                return 2;
            }
            err.println("usage: lab disk [--folder FOLDER] [--seconds N] [--batch N] [--json]");
            err.println(
                    "       lab faults [--list] [--scenario NAME] [--seed N] [--pairs N] [--at POINT:FAULT] [--planted NAME] [--json]");
            err.println("       lab process-points [--plays N] [--seed N] [--at POINT:FAULT] [--json]");
            err.println(
                    "       lab process-drill [--poolers N] [--groups N] [--seconds N] [--seed N] [--mix NAME] [--scenario FILE] "
                            + "[--timeline FILE] [--keep] [--json]");
            err.println(
                    "       lab soak [--seeds N] [--seed N] [--poolers N] [--groups N] [--seconds N] [--clients N] [--sockets N] [--cores N] "
                            + "[--keep] [--json]");
            err.println(
                    "       lab fleet-soak [--seeds N] [--seed N] [--poolers N] [--groups N] [--clients N] [--sockets N] [--cores N] "
                            + "[--keep] [--json]");
            err.println(
                    "       lab flood [--kind KIND[,KIND]|all] [--flooders N] [--clients N] [--seconds N] [--seed N] [--core N] "
                            + "[--log-lines N]");
            err.println("       lab throughput [--seconds N] [--core N]");
            err.println(
                    "       lab audit-drill [--poolers N] [--seconds N] [--seed N] [--at-lease-end fence|serve] [--keep] [--json]");
            err.println(
                    "       lab store-drill [--members N] [--seconds N] [--seed N] [--lying-disks] [--only-leader-kills] [--json]");
            err.println("       lab store-bench [--seconds N] [--changes N] [--outstanding N]");
            err.println("       lab store-cost [--requests N]");
            err.println(
                    "       lab scale [--poolers N] [--databases N] [--daemons N] [--seconds N] [--seed N] [--design NAME] [--load NAME] "
                            + "[--change-factor X] [--restart-factor X] [--region-delay-ms N] [--slopes FILE [--sizes N,N] [--documents N,N] "
                            + "[--trial WHAT]] [--keep] [--json]");
            err.println("       lab capacity [--slopes FILE] [--page FILE] [--places FILE] [--check]");
            return 2;
        }
        try {
            return lab.command.run(out);
        } catch (BadInput e) {
            err.println("lab: " + e.getMessage());
            return 2;
        } catch (Exception e) {
            err.println("lab: " + e);
            return 1;
        }
    }
}
