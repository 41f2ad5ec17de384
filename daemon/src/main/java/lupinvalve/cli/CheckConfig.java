package lupinvalve.cli;

import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;

/** Parses the configuration files and prints a summary. */
public final class CheckConfig extends ConfigFileOptions implements Main.Command {
    @Override
    public int run() throws Exception {
        OperatorConfig operator = operatorConfig();
        NodeConfig config = nodeConfig(operator);
        System.out.println("ok: " + config.name() + " listens on " + config.listen() + ", "
                + config.site().settings().classes().size() + " classes, "
                + config.known().entries().size()
                + " db nodes known; operators' address "
                + (config.operator() == null ? "off" : config.operator()) + ", MySQL front "
                + onOrOff(operator.mysql()) + ", store " + onOrOff(operator.store()) + ", DNS-SD "
                + onOrOff(operator.dnsSd()));
        return 0;
    }

    private static String onOrOff(Object section) {
        return section == null ? "off" : "on";
    }
}
