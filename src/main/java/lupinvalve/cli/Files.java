package lupinvalve.cli;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** The files that commands read. */
class Files {
    @Option(name = "--config", metaVar = "FILE", usage = "the platform's file; else NODE_CONFIG names it")
    private Path config;

    @Option(name = "--operator", metaVar = "FILE", usage = "the operator's file: MySQL front, store, DNS-SD")
    Path operator;

    Path config() {
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
