package lupinvalve.capacity;

import java.util.Locale;

/** Unit of a figure, and its formatting with three significant digits. */
public enum Unit {
    COUNT(""),
    PER_SECOND("/s"),
    BYTES(" B"),
    BYTES_PER_SECOND(" B/s"),
    CORES(" cores"),
    MILLIS(" ms"),
    SECONDS(" s"),
    MEGABYTES(" MB");

    private static final double ROUNDING_THRESHOLD = 1000;
    /** Integers below this are written with all digits. */
    private static final double MAX_EXACT_INTEGER = 100_000;

    private final String suffix;

    Unit(String suffix) {
        this.suffix = suffix;
    }

    /** Formats a value with its unit. */
    public String format(double value) {
        boolean bytes = this == BYTES || this == BYTES_PER_SECOND;
        if (bytes && Math.abs(value) >= 1e6) {
            return number(value / 1e6) + (this == BYTES ? " MB" : " MB/s");
        }
        if (bytes && Math.abs(value) >= 1e4) {
            return number(value / 1e3) + (this == BYTES ? " KB" : " KB/s");
        }
        return value == 1 && this == CORES ? "1 core" : number(value) + suffix;
    }

    /** Formats a value without a unit. */
    public static String number(double value) {
        double size = Math.abs(value);
        if (value == Math.rint(value) && size < MAX_EXACT_INTEGER) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (size >= ROUNDING_THRESHOLD) {
            double step = Math.pow(10, Math.floor(Math.log10(size)) - 2);
            return String.format(Locale.ROOT, "%,.0f", Math.round(value / step) * step);
        }
        String format = size >= 100 || value == 0
                ? "%.0f"
                : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.01 ? "%.3f" : "%.2g";
        return String.format(Locale.ROOT, format, value);
    }
}
