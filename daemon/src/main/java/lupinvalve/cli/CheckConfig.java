package lupinvalve.cli;

import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;

/** Reads the configuration and says what it holds. */
public final class CheckConfig extends Files implements Main.Command {
    @Override
    public int run() throws Exception {
        OperatorConfig operator = operator();
        NodeConfig config = node(operator);
        System.out.println("ok: " + config.name() + " listens on " + config.listen() + ", "
                + config.site().settings().classes().size() + " classes, "
                + config.known().entries().size()
                + " db nodes known; operators' address "
                + (config.operator() == null ? "off" : config.operator()) + ", MySQL front "
                + on(operator.mysql()) + ", store " + on(operator.store()) + ", DNS-SD " + on(operator.dnsSd()));
        return 0;
    }

    private static String on(Object part) {
        return part == null ? "off" : "on";
    }
}
