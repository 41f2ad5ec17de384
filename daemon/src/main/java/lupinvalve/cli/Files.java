package lupinvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import org.kohsuke.args4j.Option;

/** The files that commands read. */
class Files {
    @Option(name = "--config", metaVar = "FILE", usage = "the platform's file; else NODE_CONFIG names it")
    private Path config;

    @Option(name = "--operator", metaVar = "FILE", usage = "the operator's file: MySQL front, store, DNS-SD")
    private Path operator;

    OperatorConfig operator() throws IOException {
        return operator == null ? OperatorConfig.NONE : OperatorConfig.read(java.nio.file.Files.readAllBytes(operator));
    }

    /** The platform's file, with db nodes' addresses as the operator's has them. */
    NodeConfig node(OperatorConfig operatorConfig) throws IOException {
        return NodeConfig.read(
                        config(),
                        operatorConfig.mysql() == null
                                ? null
                                : operatorConfig.mysql().nodePort())
                .withOperator("NODE_OPERATOR", System.getenv("NODE_OPERATOR"));
    }

    /** Where the files are that are read. */
    List<Path> paths() {
        return operator == null ? List.of(config()) : List.of(config(), operator);
    }

    private Path config() {
        if (config != null) {
            return config;
        }
        String named = System.getenv("NODE_CONFIG");
        if (named == null) {
            throw new IllegalArgumentException("no --config and no NODE_CONFIG");
        }
        return Path.of(named);
    }
}
