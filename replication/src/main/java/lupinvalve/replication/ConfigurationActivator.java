package lupinvalve.replication;

import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.statemachine.ActiveConfiguration;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Activates committed configurations at the pooler, each only after the audit log has recorded it on the disk. On the
 * group's thread.
 */
final class ConfigurationActivator {
    private final EventLoop loop;
    /** Null if the audit is off. */
    private final LeaseHolder leaseHolder;

    private final ActiveConfiguration active;

    ConfigurationActivator(EventLoop loop, LeaseHolder leaseHolder) {
        this.loop = loop;
        this.leaseHolder = leaseHolder;
        active = new ActiveConfiguration(loop.now());
    }

    ActiveConfiguration active() {
        return active;
    }

    /**
     * Activates a committed configuration that can be served with; false if the disk failed and the previous one stays.
     */
    boolean onCommitted(ReplicatedState.Document document, ControlPlane.Listener listener) {
        String error = listener.validationError(document.content());
        ReplicatedState.Document previous = active.active();
        switch (active.onCommitted(document, error)) {
            case ACTIVATE -> {
                if (!recordAdopting(document)) {
                    active.revertTo(previous);
                    return false;
                }
                activate(document, listener);
            }
            case UNREADABLE -> {
                Log.error("store: cannot apply a committed configuration; %s", active.describe());
                if (leaseHolder != null) {
                    String version = LeaseHolder.versionOf(document);
                    leaseHolder.onRejected(version, document.index(), loop.now(), active.unreadableReason());
                }
            }
            default -> {
                // Not newer than the active configuration.
            }
        }
        return true;
    }

    private boolean recordAdopting(ReplicatedState.Document document) {
        return leaseHolder == null
                || leaseHolder.onAdopting(LeaseHolder.versionOf(document), document.index(), loop.now());
    }

    private void activate(ReplicatedState.Document document, ControlPlane.Listener listener) {
        Log.info(
                "store: adopted revision %s, change %s, digest %s",
                document.revision(), document.index(), document.digest());
        listener.configurationAccepted(document);
        if (leaseHolder != null) {
            String version = LeaseHolder.versionOf(document);
            listener.runAfterApplied(
                    () -> loop.post(() -> leaseHolder.onAdopted(version, document.index(), loop.now())));
        }
    }
}
