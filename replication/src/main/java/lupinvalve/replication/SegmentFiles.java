package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lupinvalve.log.Log;

/** The segments in a member's folder: the one that is being written, and closed ones until compaction deletes them. */
final class SegmentFiles {
    /** The prefix of the files' names; a segment's number follows. */
    static final String PREFIX = "history-";

    private static final int SEGMENT_MAX_BYTES = 1 << 20;

    /** @param highestIndex of an entry in it; 0 if it has none */
    private record ClosedSegment(long highestIndex, long sizeBytes) {}

    private final Disk disk;
    private final TreeMap<Long, ClosedSegment> closedByNumber = new TreeMap<>();
    private Disk.AppendFile current;
    private long currentNumber;
    /** The highest index of an entry that is in the current segment, or will be with the next write. */
    private long currentHighestIndex;

    private long currentBytes;
    private long totalBytes;

    SegmentFiles(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads all segments.
     *
     * @param names of all files in the folder, sorted
     * @param repair whether a record that a crash has torn is cut off in the file
     */
    void load(List<String> names, boolean repair, RestoredLog target) throws IOException {
        List<String> segments =
                names.stream().filter(name -> name.startsWith(PREFIX)).toList();
        for (int i = 0; i < segments.size(); i++) {
            boolean last = i == segments.size() - 1;
            loadSegment(segments.get(i), last, repair, target);
        }
    }

    private void loadSegment(String name, boolean last, boolean repair, RestoredLog target) throws IOException {
        byte[] file = disk.read(name);
        List<byte[]> contents = new ArrayList<>();
        long completeBytes = RecordFrames.read(name, file, last, contents);
        if (completeBytes < file.length) {
            Log.warn("store: %s: truncated at byte %s, as a crash has torn the record there", name, completeBytes);
            if (repair) {
                disk.truncate(name, completeBytes);
            }
        }
        long highestIndex = 0;
        for (byte[] content : contents) {
            highestIndex = target.readRecords(name, content, highestIndex);
        }
        currentNumber = NumberedFileName.number(name, PREFIX);
        closedByNumber.put(currentNumber, new ClosedSegment(highestIndex, completeBytes));
        totalBytes += completeBytes;
    }

    /** An entry will be in the next write. */
    void onEntryAdded(long index) {
        currentHighestIndex = Math.max(currentHighestIndex, index);
    }

    /** Appends to the current segment; returns once the bytes are durable. */
    void append(byte[] frame) throws IOException {
        current.write(frame);
        current.force();
        currentBytes += frame.length;
        totalBytes += frame.length;
    }

    /** Closes the current segment, if there is one, and creates the next. */
    void startNext() throws IOException {
        if (current != null) {
            current.close();
            closedByNumber.put(currentNumber, new ClosedSegment(currentHighestIndex, currentBytes));
        }
        currentNumber++;
        currentHighestIndex = 0;
        currentBytes = 0;
        current = disk.create(NumberedFileName.of(PREFIX, currentNumber));
    }

    /** Whether the current segment is so large that the next one should be started. */
    boolean isFull() {
        return currentBytes > SEGMENT_MAX_BYTES;
    }

    /** Deletes the oldest closed segments, as long as they have no entry after the index. */
    void deleteUpTo(long index) throws IOException {
        while (!closedByNumber.isEmpty()
                && closedByNumber.firstEntry().getValue().highestIndex() <= index) {
            long number = closedByNumber.firstKey();
            totalBytes -= closedByNumber.remove(number).sizeBytes();
            disk.delete(NumberedFileName.of(PREFIX, number));
        }
    }

    /** Bytes of all segments. */
    long totalBytes() {
        return totalBytes;
    }

    /** Closes the current segment's file. */
    void close() throws IOException {
        if (current != null) {
            current.close();
        }
    }
}
