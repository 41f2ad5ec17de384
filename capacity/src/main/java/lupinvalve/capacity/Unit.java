package lupinvalve.capacity;

import java.util.Locale;

/** What a figure counts, and how it is written: three digits that tell something. */
public enum Unit {
    COUNT(""),
    PER_SECOND("/s"),
    BYTES(" B"),
    BYTES_PER_SECOND(" B/s"),
    CORES(" cores"),
    MILLIS(" ms"),
    SECONDS(" s"),
    MEGABYTES(" MB");

    private static final double DIGITS = 1000;
    /** Whole numbers below this are written whole. */
    private static final double WHOLE_MOST = 100_000;

    private final String suffix;

    Unit(String suffix) {
        this.suffix = suffix;
    }

    /** The figure with its unit. */
    public String words(double value) {
        boolean bytes = this == BYTES || this == BYTES_PER_SECOND;
        if (bytes && Math.abs(value) >= 1e6) {
            return number(value / 1e6) + (this == BYTES ? " MB" : " MB/s");
        }
        if (bytes && Math.abs(value) >= 1e4) {
            return number(value / 1e3) + (this == BYTES ? " KB" : " KB/s");
        }
        return value == 1 && this == CORES ? "1 core" : number(value) + suffix;
    }

    /** The figure alone. */
    public static String number(double value) {
        double size = Math.abs(value);
        if (value == Math.rint(value) && size < WHOLE_MOST) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (size >= DIGITS) {
            double step = Math.pow(10, Math.floor(Math.log10(size)) - 2);
            return String.format(Locale.ROOT, "%,.0f", Math.round(value / step) * step);
        }
        String format = size >= 100 || value == 0
                ? "%.0f"
                : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.01 ? "%.3f" : "%.2g";
        return String.format(Locale.ROOT, format, value);
    }
}
