package fawnlb.metrics;

/**
 * A value that a metric's label can take. Implemented by enums, so that there are few values, none comes from outside,
 * and a constant can be renamed without renaming the series.
 */
public interface LabelValue {
    /** The value as {@code /metrics} shows it. */
    String labelValue();
}
