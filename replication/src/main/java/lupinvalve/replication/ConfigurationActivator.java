package lupinvalve.replication;

import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.statemachine.ActiveConfiguration;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Hands committed configurations to the pooler: each only once the audit log has noted it on the disk. On the group's
 * thread.
 */
final class ConfigurationActivator {
    private final EventLoop loop;
    /** Null where the audit is off. */
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

    /** Activates a committed configuration. False where the disk failed: then the one before stays active. */
    boolean onCommitted(ReplicatedState.Document document, ControlPlane.Listener listener) {
        String error = listener.validationError(document.content());
        ReplicatedState.Document before = active.active();
        switch (active.onCommitted(document, error)) {
            case ACTIVATE -> {
                if (!noteAdopting(document)) {
                    active.revertTo(before);
                    return false;
                }
                activate(document, listener);
            }
            case UNREADABLE -> {
                Log.error("store: %s", active.describe());
                if (leaseHolder != null) {
                    String version = LeaseHolder.versionOf(document);
                    leaseHolder.onRejected(version, document.index(), loop.now(), active.unreadableReason());
                }
            }
            default -> {
                // It is active already.
            }
        }
        return true;
    }

    private boolean noteAdopting(ReplicatedState.Document document) {
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
