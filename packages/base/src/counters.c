#include "masticvane/base.h"

static const char *const counter_names[] = {
#define MV_COUNTER(id, name, text) [MV_COUNTER_##id] = (name),
#include "masticvane/counters.def"
#undef MV_COUNTER
};

void
MvCounters_Add(mv_counters_t *counters, mv_counter_id_t id, uint64_t n)
{
    __atomic_fetch_add(&counters->value[id], n, __ATOMIC_RELAXED);
}

uint64_t
MvCounters_Get(const mv_counters_t *counters, mv_counter_id_t id)
{
    return __atomic_load_n(&counters->value[id], __ATOMIC_RELAXED);
}

const char *
MvCounters_Name(mv_counter_id_t id)
{
    return counter_names[id];
}

json_t *
MvCounters_ToJson(const mv_counters_t *counters)
{
    json_t *object = json_object();
    for (unsigned i = 0; i < MV_COUNTER_COUNT; i++) {
        json_object_set_new(
            object, counter_names[i],
            json_integer((json_int_t)MvCounters_Get(counters, i)));
    }
    return object;
}
