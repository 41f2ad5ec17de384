package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import org.kohsuke.args4j.Option;

/** Command-line options for the configuration files, and their reading. */
class ConfigFileOptions {
    @Option(
            name = "--config",
            metaVar = "FILE",
            usage = "the platform's file; default: the environment variable NODE_CONFIG")
    private Path configPath;

    @Option(name = "--operator", metaVar = "FILE", usage = "the operator's file: MySQL front, store, DNS-SD")
    private Path operatorPath;

    OperatorConfig operatorConfig() throws IOException {
        return operatorPath == null ? OperatorConfig.NONE : OperatorConfig.read(Files.readAllBytes(operatorPath));
    }

    /** Reads the platform's file; the operator's file gives the port of db nodes for MySQL. */
    NodeConfig nodeConfig(OperatorConfig operatorConfig) throws IOException {
        return NodeConfig.read(
                        configFile(),
                        operatorConfig.mysql() == null
                                ? null
                                : operatorConfig.mysql().nodePort())
                .withOperator("NODE_OPERATOR", System.getenv("NODE_OPERATOR"));
    }

    /** Paths of the files that are read. */
    List<Path> paths() {
        return operatorPath == null ? List.of(configFile()) : List.of(configFile(), operatorPath);
    }

    private Path configFile() {
        if (configPath != null) {
            return configPath;
        }
        String fromEnvironment = System.getenv("NODE_CONFIG");
        if (fromEnvironment == null) {
            throw new IllegalArgumentException("no --config and no NODE_CONFIG");
        }
        return Path.of(fromEnvironment);
    }
}
