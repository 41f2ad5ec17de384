package lupinvalve.store;

import java.util.Arrays;

/**
 * A value of the store. Any two merge into one, whatever the order and however often, so that replicas which have
 * seen the same values hold the same.
 */
sealed interface Value {
    /** What both together come to; a value of another kind does not merge. */
    Value merge(Value other);

    /** A session's last commit: the later one holds. */
    record Commit(long position) implements Value {
        @Override
        public Value merge(Value other) {
            return other instanceof Commit c && c.position > position ? c : this;
        }
    }

    /** A configuration: the higher revision holds; of two with the same, the one of the replica named later. */
    record Document(long revision, String replica, byte[] content) implements Value {
        @Override
        public Value merge(Value other) {
            if (!(other instanceof Document d)) {
                return this;
            }
            int order = Long.compare(d.revision, revision);
            order = order != 0 ? order : d.replica.compareTo(replica);
            // A replica that broke its word and changed a document under one revision still converges.
            order = order != 0 ? order : Arrays.compare(d.content, content);
            return order > 0 ? d : this;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Document d && d.revision == revision && d.replica.equals(replica)
                    && Arrays.equals(d.content, content);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(revision) * 31 + replica.hashCode();
        }
    }
}
