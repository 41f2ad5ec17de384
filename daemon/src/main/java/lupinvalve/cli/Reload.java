package lupinvalve.cli;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.log.Log;

/**
 * Reloads the configuration on SIGHUP; without a handler, the JVM exits on that signal. The files are read and
 * validated on the signal handler's thread. Unusable files change nothing and are read again for a few seconds, since a
 * signal may arrive while a file is being written. If the signal can't be handled, the files are polled.
 */
final class Reload {
    private final ConfigFileOptions files;
    /** Polls the files; null if SIGHUP is handled. */
    private final FileWatch watch;

    private Daemon daemon;
    private long signalsCount;

    Reload(ConfigFileOptions files) {
        this.files = files;
        String unavailableReason = registerHandler();
        if (unavailableReason == null) {
            watch = null;
        } else {
            Log.warn("%s: configuration files are polled every second", unavailableReason);
            // Created before the files are read for the start, so that no change in between is missed.
            watch = new FileWatch(files.paths(), this::onFilesChanged);
        }
    }

    /** Registers the signal handler; returns why SIGHUP can't be handled, or null if it is. */
    private String registerHandler() {
        try {
            // By reflection: sun.misc.Signal is the JDK's only API for signals, and javac's warning about a direct use
            // can't be suppressed.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    Reload.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, values) -> switch (method.getName()) {
                        case "handle" -> {
                            onSignal();
                            yield null;
                        }
                        case "equals" -> proxy == values[0];
                        case "hashCode" -> System.identityHashCode(proxy);
                        default -> "reload";
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
            // A JVM that starts with the signal ignored keeps ignoring it, whatever handler is registered.
            return previousHandler == handler.getField("SIG_IGN").get(null)
                    ? "SIGHUP was set to be ignored before this process started"
                    : null;
        } catch (InvocationTargetException e) {
            return "SIGHUP can't be handled (" + e.getCause() + ")";
        } catch (ReflectiveOperationException e) {
            return "SIGHUP can't be handled (" + e + ")";
        }
    }

    /** Applies reloads to this daemon from now on; a signal that arrived earlier triggers one now. */
    synchronized void daemonStarted(Daemon started) {
        daemon = started;
        if (signalsCount > 0) {
            onSignal();
        }
        if (watch != null) {
            watch.start();
        }
    }

    /**
     * Handles one signal. Each signal is delivered on its own thread; the lock serializes them, so that the files read
     * last are in force. If a newer signal arrives while an earlier one waits to retry, the newer one retries in its
     * place.
     */
    private synchronized void onSignal() {
        signalsCount++;
        notifyAll();
        if (daemon == null) {
            return;
        }
        String error = reload();
        if (error != null) {
            Log.error("configuration: the old one stays unless the files are usable within 3 s: %s", error);
            retry();
        }
    }

    /** Reads the files again with pauses until they are usable, a newer signal arrives, or the attempts are used up. */
    private void retry() {
        long ownSignal = signalsCount;
        RereadPauses pauses = new RereadPauses();
        boolean usable = false;
        while (!usable && ownSignal == signalsCount && pauses.hasNext()) {
            try {
                wait(pauses.nextMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            usable = ownSignal == signalsCount && reload() == null;
        }
    }

    /**
     * Called once the polled files have changed and are stable. No retry: a correction of unusable files is another
     * change.
     */
    private synchronized void onFilesChanged() {
        String error = reload();
        if (error != null) {
            Log.error("configuration: the old one stays: %s", error);
        }
    }

    /**
     * Reads both files and applies them to the daemon; returns why they are not usable, or null if they were applied.
     */
    private String reload() {
        try {
            OperatorConfig operator = files.operatorConfig();
            NodeConfig config = files.nodeConfig(operator);
            daemon.reloadCertificates();
            daemon.reconfigure(config, operator);
            return null;
        } catch (IOException | RuntimeException e) {
            return String.valueOf(e.getMessage());
        }
    }
}
