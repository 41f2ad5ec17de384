package lupinvalve.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Says in a few words what a piece of discovery's news changes in the list held. Without I/O. */
final class ListChanges {
    private static final int NAMED = 8;

    private ListChanges() {}

    /**
     * The db nodes that change, a few of them by name.
     *
     * @param before the list held, by id
     * @param unnamed ids that a whole list no longer names
     */
    static String text(
            Map<String, Directory.Entry> before, Collection<Directory.Entry> news, Collection<String> unnamed) {
        List<String> changes = new ArrayList<>();
        for (Directory.Entry entry : news) {
            Directory.Entry known = before.get(entry.member().node());
            String now = entry.member().state().name().toLowerCase(Locale.ROOT);
            if (known == null) {
                changes.add(entry.member().node() + " new " + now);
            } else if (known.member().state() != entry.member().state()) {
                changes.add(entry.member().node() + " " + now);
            } else if (known.member().startedAtMicros() != entry.member().startedAtMicros()) {
                changes.add(entry.member().node() + " restarted");
            } else if (!known.addresses().equals(entry.addresses())) {
                changes.add(entry.member().node() + " moved");
            }
        }
        unnamed.forEach(node -> changes.add(node + " unlisted"));
        String named = String.join(", ", changes.subList(0, Math.min(NAMED, changes.size())));
        return changes.isEmpty()
                ? "nothing changed"
                : changes.size() > NAMED ? named + " and " + (changes.size() - NAMED) + " more" : named;
    }
}
