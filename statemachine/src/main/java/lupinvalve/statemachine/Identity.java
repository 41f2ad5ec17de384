package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * A member of the group: its name and the disk that it remembers by. Who has lost the disk under the old name is
 * another one, so that it can't vote as if it remembered.
 */
public record Identity(String name, String disk) implements Comparable<Identity> {
    /** Members of a group at most. */
    public static final int MOST = 15;

    @Override
    public int compareTo(Identity other) {
        int order = name.compareTo(other.name);
        return order != 0 ? order : disk.compareTo(other.disk);
    }

    @Override
    public String toString() {
        return name + "/" + disk;
    }

    public static void write(Cbor.Out out, Collection<Identity> all) {
        out.number(all.size());
        all.forEach(one -> out.text(one.name).text(one.disk));
    }

    public static Set<Identity> read(Cbor.In in) throws IOException {
        Set<Identity> all = new TreeSet<>();
        for (int left = in.count(4 * MOST); left > 0; left--) {
            all.add(new Identity(in.text(), in.text()));
        }
        return all;
    }
}
