package lupinvalve.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.core.Loop;
import lupinvalve.core.Marks;

/**
 * One replica's values: sessions' last commits and the operators' documents. Values merge, so no order of arrival and
 * no vote is needed. Core thread only.
 */
public final class Store implements Marks {
    /** A session's commit that is older than this binds nothing: no db node that serves is so far behind. */
    static final long SESSION_AGE = 600_000_000L;
    private static final int SESSIONS_MOST = 50_000, DOCUMENTS_MOST = 64;
    private static final String SESSION = "session/", DOCUMENT = "document/";

    /** Takes each entry that has changed here. */
    interface Changes {
        void changed(String key, Value value);
    }

    private record Aged(long position, String key) implements Comparable<Aged> {
        @Override
        public int compareTo(Aged other) {
            int order = Long.compare(position, other.position);
            return order != 0 ? order : key.compareTo(other.key);
        }
    }

    private final Loop loop;
    private final String replica;
    private final Map<String, Value> values = new HashMap<>();
    private final TreeSet<Aged> byAge = new TreeSet<>();
    private final List<Changes> changes = new ArrayList<>();
    private final Map<String, Consumer<byte[]>> watchers = new HashMap<>();
    private int documents;

    public Store(Loop loop, String replica) {
        this.loop = loop;
        this.replica = replica;
    }

    public String replica() {
        return replica;
    }

    void onChange(Changes listener) {
        changes.add(listener);
    }

    @Override
    public long lastCommit(String session) {
        return values.get(SESSION + session) instanceof Value.Commit commit ? commit.position() : 0;
    }

    @Override
    public void committed(String session, long position) {
        merge(SESSION + session, new Value.Commit(position));
    }

    /** Puts a document of this replica; one with a higher revision stays. */
    public void put(String name, long revision, byte[] content) {
        merge(DOCUMENT + name, new Value.Document(revision, replica, content));
    }

    /** The document that holds, or null. */
    public byte[] document(String name) {
        return values.get(DOCUMENT + name) instanceof Value.Document document ? document.content() : null;
    }

    /** Tells when a document changes. */
    public void watch(String name, Consumer<byte[]> watcher) {
        watchers.put(DOCUMENT + name, watcher);
    }

    /** Takes a value from here or from another replica. */
    void merge(String key, Value value) {
        boolean commit = value instanceof Value.Commit;
        // What another release or a stranger sends under other names is not kept.
        if (!key.startsWith(commit ? SESSION : DOCUMENT)
                || commit && ((Value.Commit) value).position() < loop.now() - SESSION_AGE) {
            return;
        }
        Value before = values.get(key);
        if (before == null && !commit && documents >= DOCUMENTS_MOST) {
            return;
        }
        Value after = before == null ? value : before.merge(value);
        if (after.equals(before)) {
            return;
        }
        values.put(key, after);
        if (after instanceof Value.Commit now) {
            if (before instanceof Value.Commit old) {
                byAge.remove(new Aged(old.position(), key));
            }
            byAge.add(new Aged(now.position(), key));
            forget();
        } else if (before == null) {
            documents++;
        }
        changes.forEach(listener -> listener.changed(key, after));
        if (after instanceof Value.Document document && watchers.containsKey(key)) {
            watchers.get(key).accept(document.content());
        }
    }

    private void forget() {
        long oldest = loop.now() - SESSION_AGE;
        while (!byAge.isEmpty() && (byAge.size() > SESSIONS_MOST || byAge.first().position() < oldest)) {
            values.remove(byAge.pollFirst().key());
        }
    }

    /** All that is held now. */
    Map<String, Value> all() {
        return new LinkedHashMap<>(values);
    }
}
