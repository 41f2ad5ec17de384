package lupinvalve.cli;

import lupinvalve.config.NodeConfig;

/** Reads the configuration and says what it holds. */
public final class CheckConfig extends Files implements Main.Command {
    @Override
    public int run() throws Exception {
        NodeConfig config = NodeConfig.read(config(), null);
        System.out.println("ok: " + config.name() + " listens on " + config.listen() + ", "
                + config.site().settings().classes().size() + " classes, " + config.known().entries().size()
                + " db nodes known");
        return 0;
    }
}
