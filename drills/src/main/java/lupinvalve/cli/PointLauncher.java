package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.replication.FailPointInterceptors;
import lupinvalve.replication.RaftMember;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Starts the shipped daemon with interceptors that number its fail points and inject a planned fault at one of them.
 * Used by drills only.
 */
public final class PointLauncher extends Serve {
    @Option(name = "--at", metaVar = "POINT:FAULT", usage = "number of the fail point, and the fault to inject there")
    private String plannedFault;

    @Option(
            name = "--course",
            metaVar = "FILE",
            usage = "file to which the kind of each fail point reached is appended")
    private Path stepFile;

    @Override
    Daemon daemon(NodeConfig node, OperatorConfig operator, Path shared) throws IOException {
        FailPoints.PlannedFault fault = plannedFault == null ? null : FailPoints.PlannedFault.parse(plannedFault);
        return new Daemon(
                node, operator, shared, config -> new RaftMember(config, new FailPointInterceptors(fault, stepFile)));
    }

    /**
     * Runs the daemon; the exit status is 2 for wrong options. The command word {@code serve} is accepted and ignored.
     */
    public static void main(String[] args) throws Exception {
        PointLauncher launcher = new PointLauncher();
        try {
            new CmdLineParser(launcher)
                    .parseArgument(Arrays.stream(args)
                            .filter(arg -> !arg.equals("serve"))
                            .toList());
        } catch (CmdLineException e) {
            System.err.println("launcher: " + e.getMessage());
            System.exit(2);
        }
        System.exit(launcher.run());
    }
}
