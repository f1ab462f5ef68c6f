#include "masticvane/base.h"

#define SUB_BUCKETS (1 << MV_HISTOGRAM_SUB_BITS)

static unsigned
bucket_of(uint64_t value)
{
    if (value < SUB_BUCKETS) {
        return (unsigned)value;
    }
    unsigned shift = 63 - __builtin_clzll(value) - MV_HISTOGRAM_SUB_BITS;
    unsigned index = ((shift + 1) << MV_HISTOGRAM_SUB_BITS) +
                     (unsigned)((value >> shift) - SUB_BUCKETS);
    return index < MV_HISTOGRAM_BUCKETS ? index : MV_HISTOGRAM_BUCKETS - 1;
}

static int64_t
upper_bound(unsigned index)
{
    if (index < SUB_BUCKETS) {
        return index;
    }
    unsigned shift = (index >> MV_HISTOGRAM_SUB_BITS) - 1;
    uint64_t mantissa = SUB_BUCKETS + (index & (SUB_BUCKETS - 1));
    return (int64_t)(((mantissa + 1) << shift) - 1);
}

void
MvHistogram_Add(mv_histogram_t *histogram, int64_t value)
{
    if (value < 0) {
        value = 0;
    }
    histogram->count++;
    histogram->sum += (double)value;
    if (value > histogram->max) {
        histogram->max = value;
    }
    histogram->buckets[bucket_of((uint64_t)value)]++;
}

int64_t
MvHistogram_Quantile(const mv_histogram_t *histogram, double q)
{
    uint64_t rank = (uint64_t)(q * (double)histogram->count);
    uint64_t cumulative = 0;
    for (unsigned i = 0; i < MV_HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        if (cumulative > rank) {
            return MIN(upper_bound(i), histogram->max);
        }
    }
    return histogram->max;
}

double
MvHistogram_Mean(const mv_histogram_t *histogram)
{
    if (histogram->count == 0) {
        return 0;
    }
    return histogram->sum / (double)histogram->count;
}

json_t *
MvHistogram_ToJson(const mv_histogram_t *histogram)
{
    return json_pack("{s:I,s:f,s:I,s:I,s:I}", "count",
                     (json_int_t)histogram->count, "mean",
                     MvHistogram_Mean(histogram), "p50",
                     (json_int_t)MvHistogram_Quantile(histogram, 0.5), "p99",
                     (json_int_t)MvHistogram_Quantile(histogram, 0.99), "max",
                     (json_int_t)histogram->max);
}
