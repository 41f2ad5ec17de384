package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.replication.PointSeams;
import lupinvalve.replication.RaftMember;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The daemon as it ships, with seams that number its points and a fault at one of them. For the laboratory alone. */
public final class PointLauncher extends Serve {
    @Option(name = "--at", metaVar = "POINT:FAULT", usage = "where what goes wrong")
    private String at;

    @Option(name = "--course", metaVar = "FILE", usage = "is appended the kind of each point met")
    private Path course;

    @Override
    Daemon daemon(NodeConfig node, OperatorConfig operator, Path shared) throws IOException {
        FailPoints.PlannedFault point = at == null ? null : FailPoints.PlannedFault.parse(at);
        return new Daemon(node, operator, shared, config -> new RaftMember(config, new PointSeams(point, course)));
    }

    public static void main(String[] args) throws Exception {
        PointLauncher launcher = new PointLauncher();
        try {
            new CmdLineParser(launcher)
                    .parseArgument(
                            Arrays.stream(args).filter(a -> !a.equals("serve")).toList());
        } catch (CmdLineException e) {
            System.err.println("launcher: " + e.getMessage());
            System.exit(2);
        }
        System.exit(launcher.run());
    }
}
