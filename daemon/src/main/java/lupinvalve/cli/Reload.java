package lupinvalve.cli;

import java.io.IOException;
import java.lang.reflect.Proxy;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;

/**
 * Reads the configuration anew on SIGHUP. Guards against what a JVM does with that signal by itself: it ends. The files
 * are read and checked on the signal's own thread; one that can't be used changes nothing.
 */
final class Reload {
    private final Files files;
    private Daemon daemon;
    private boolean asked;

    Reload(Files files) {
        this.files = files;
        try {
            // sun.misc.Signal is the JDK's only way to a signal; javac warns of it by name and can't be told not to.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object onSignal = Proxy.newProxyInstance(Reload.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, values) -> switch (method.getName()) {
                        case "handle" -> {
                            hangUp();
                            yield null;
                        }
                        case "equals" -> proxy == values[0];
                        case "hashCode" -> System.identityHashCode(proxy);
                        default -> "reload";
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), onSignal);
        } catch (ReflectiveOperationException e) {
            Log.warn("SIGHUP can't be heard: %s", e);
        }
    }

    /** From now on a signal reaches this daemon; one that came earlier is made up for. */
    synchronized void serves(Daemon started) {
        daemon = started;
        if (asked) {
            hangUp();
        }
    }

    /** Signals come on threads of their own; one after another, so that the file read last holds. */
    private synchronized void hangUp() {
        asked = true;
        if (daemon == null) {
            return;
        }
        try {
            OperatorConfig operator = files.operator();
            NodeConfig config = files.node(operator);
            daemon.rekey();
            daemon.reconfigure(config, operator);
        } catch (IOException | RuntimeException e) {
            Log.error("configuration: the old one stays: %s", e.getMessage());
        }
    }
}
