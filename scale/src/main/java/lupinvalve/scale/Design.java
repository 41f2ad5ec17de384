package lupinvalve.scale;

import java.io.IOException;
import lupinvalve.config.OperatorConfig;

/** How poolers receive the replicated configuration. */
enum Design {
    /** Each pooler is a member of the Raft group. */
    MEMBERS {
        @Override
        OpenPlane open(HostCommand command, String cluster) throws IOException {
            return OpenPlane.member(new OperatorConfig.Store(
                    cluster,
                    command.pooler(),
                    java.nio.file.Path.of(command.folder()),
                    command.listen(),
                    command.members(),
                    null,
                    0,
                    OperatorConfig.Audit.FENCE));
        }
    },
    /** Poolers subscribe to one of the control members and are not members themselves. */
    SUBSCRIPTIONS {
        @Override
        OpenPlane open(HostCommand command, String cluster) throws IOException {
            return OpenPlane.subscriber(OperatorConfig.Store.subscriber(
                    cluster,
                    command.pooler(),
                    java.nio.file.Path.of(command.folder()),
                    command.members(),
                    null,
                    OperatorConfig.Audit.FENCE));
        }
    };

    /**
     * Opens a pooler's control plane from the pooler's folder; it takes part in the group or subscribes once it is
     * started.
     */
    abstract OpenPlane open(HostCommand command, String cluster) throws IOException;

    /** Returns the name used in options and files. */
    String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
