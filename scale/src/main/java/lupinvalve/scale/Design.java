package lupinvalve.scale;

import java.io.IOException;
import lupinvalve.config.OperatorConfig;

/** How poolers come to the agreed configuration. */
enum Design {
    /** Each pooler is a member of the group. */
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
    /** Poolers follow one of the control members and are none themselves. */
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

    /** Opens what a pooler has beside it, from its folder; it takes part once it is started. */
    abstract OpenPlane open(HostCommand command, String cluster) throws IOException;

    /** As options and files name it. */
    String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
