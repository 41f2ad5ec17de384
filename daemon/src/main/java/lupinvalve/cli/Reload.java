package lupinvalve.cli;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;

/**
 * Reads the configuration anew on SIGHUP. Guards against what a JVM does with that signal by itself: it ends. The files
 * are read and checked on the signal's own thread; ones that can't be used change nothing, and are read again for a few
 * seconds, since a signal may come while one is being written. Where the signal can't be heard, the files are watched.
 */
final class Reload {
    private final Files files;
    /** Null where the signal is heard. */
    private final FileWatch watch;

    private Daemon daemon;
    private long signals;

    Reload(Files files) {
        this.files = files;
        String deaf = listen();
        if (deaf == null) {
            watch = null;
        } else {
            Log.warn("%s: configuration files are looked at every second", deaf);
            // Looks at them before they are read for the start, so that no change between the two is missed.
            watch = new FileWatch(files.paths(), this::changed);
        }
    }

    /** Registers for the signal; says why it can't be heard, or null where it can. */
    private String listen() {
        try {
            // sun.misc.Signal is the JDK's only way to a signal; javac warns of it by name and can't be told not to.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object onSignal = Proxy.newProxyInstance(
                    Reload.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, values) -> switch (method.getName()) {
                        case "handle" -> {
                            hangUp();
                            yield null;
                        }
                        case "equals" -> proxy == values[0];
                        case "hashCode" -> System.identityHashCode(proxy);
                        default -> "reload";
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), onSignal);
            // A JVM that starts with the signal ignored leaves it so, whatever is registered.
            return before == handler.getField("SIG_IGN").get(null)
                    ? "SIGHUP is ignored by whoever started this process"
                    : null;
        } catch (InvocationTargetException e) {
            return "SIGHUP can't be heard (" + e.getCause() + ")";
        } catch (ReflectiveOperationException e) {
            return "SIGHUP can't be heard (" + e + ")";
        }
    }

    /** From now on a signal reaches this daemon; one that came earlier is made up for. */
    synchronized void serves(Daemon started) {
        daemon = started;
        if (signals > 0) {
            hangUp();
        }
        if (watch != null) {
            watch.start();
        }
    }

    /**
     * Signals come on threads of their own; one after another, so that the files read last hold. While one waits to
     * read again, the next goes on in its place.
     */
    private synchronized void hangUp() {
        signals++;
        notifyAll();
        if (daemon == null) {
            return;
        }
        String fault = takeOver();
        if (fault != null) {
            Log.error("configuration: the old one stays unless this is mended in 3 s: %s", fault);
            readAgain();
        }
    }

    /**
     * Reads again with pauses until the files can be used, a newer signal has come, or it has been tried for long
     * enough.
     */
    private void readAgain() {
        long mine = signals;
        RereadPauses pauses = new RereadPauses();
        boolean usable = false;
        while (!usable && mine == signals && pauses.more()) {
            try {
                wait(pauses.nextMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            usable = mine == signals && takeOver() == null;
        }
    }

    /**
     * The watched files have changed and stand still. Once they can be used they have changed again, so one try does.
     */
    private synchronized void changed() {
        String fault = takeOver();
        if (fault != null) {
            Log.error("configuration: the old one stays: %s", fault);
        }
    }

    /** Reads both files and hands them to the daemon; says why they can't be used, or null where they are. */
    private String takeOver() {
        try {
            OperatorConfig operator = files.operator();
            NodeConfig config = files.node(operator);
            daemon.rekey();
            daemon.reconfigure(config, operator);
            return null;
        } catch (IOException | RuntimeException e) {
            return String.valueOf(e.getMessage());
        }
    }
}
