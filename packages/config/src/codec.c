#include "masticvane/config.h"

#include <sodium.h>
#include <string.h>

#define DIGEST_BYTES 16
#define MAX_ENDPOINT_ID 65534

/* Encoding */

static json_t *
encode_buckets(const uint16_t *buckets, uint16_t count)
{
    json_t *array = json_array();
    for (uint16_t b = 0; b < count; b++) {
        json_array_append_new(array, json_integer(buckets[b]));
    }
    return array;
}

static json_t *
encode_endpoint(const mv_endpoint_t *endpoint)
{
    return json_pack(
        "{s:i,s:s,s:s,s:I,s:i,s:i,s:i,s:I,s:I,s:I}", "id", endpoint->id,
        "name", endpoint->name, "data_centre", endpoint->data_centre,
        "address", (json_int_t)endpoint->address, "packet_port",
        endpoint->packet_port, "request_port", endpoint->request_port, "slots",
        endpoint->slots, "connections", (json_int_t)endpoint->connection_limit,
        "leaves_at", (json_int_t)endpoint->leaves_at, "ends_at",
        (json_int_t)endpoint->ends_at);
}

static json_t *
encode_work(const mv_work_t *work)
{
    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:b}", "name", work->name, "method",
                     work->method, "path", work->path, "urgency",
                     work->urgency, "share", work->share, "non_idempotent",
                     (int)work->non_idempotent);
}

char *
MvDeployment_EncodeService(const mv_service_t *service,
                           char digest[MV_DIGEST_MAX])
{
    json_t *endpoints = json_array();
    for (uint16_t i = 0; i < service->endpoint_count; i++) {
        json_array_append_new(endpoints,
                              encode_endpoint(&service->endpoints[i]));
    }
    json_t *work = json_array();
    for (uint16_t i = 0; i < service->work_count; i++) {
        json_array_append_new(work, encode_work(&service->work[i]));
    }
    json_t *document = json_pack(
        "{s:i,s:s,s:I,s:i,s:I,s:i,s:o,s:o,s:o,s:o}", "id", service->id, "name",
        service->name, "address", (json_int_t)service->address, "port",
        service->port, "ends_at", (json_int_t)service->ends_at,
        "last_endpoint_id", service->last_endpoint_id, "endpoints", endpoints,
        "work", work, "before",
        encode_buckets(service->before, service->bucket_count), "target",
        encode_buckets(service->target, service->bucket_count));
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(document);
    unsigned char hash[DIGEST_BYTES];
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_bin2hex(digest, 2 * DIGEST_BYTES + 1, hash, sizeof(hash));
    return text;
}

char *
MvDeployment_EncodeRoot(const mv_deployment_t *deployment)
{
    json_t *services = json_array();
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        const mv_service_t *service = &deployment->services[i];
        json_array_append_new(
            services, json_pack("{s:s,s:s,s:I}", "name", service->name,
                                "digest", service->digest, "changed_in",
                                (json_int_t)service->changed_in));
    }
    json_t *members = json_array();
    for (uint16_t i = 0; i < deployment->member_count; i++) {
        json_array_append_new(members,
                              json_pack("{s:s,s:i}", "name",
                                        deployment->members[i].name, "weight",
                                        deployment->members[i].weight));
    }
    json_t *recent = json_array();
    for (int i = 0; i < MV_RECENT_CHANGES; i++) {
        if (*deployment->recent_changes[i]) {
            json_array_append_new(recent,
                                  json_string(deployment->recent_changes[i]));
        }
    }
    json_t *root =
        json_pack("{s:s,s:I,s:s,s:I,s:I,s:i,s:o,s:o,s:o}", "name",
                  deployment->name, "version", (json_int_t)deployment->version,
                  "change_id", deployment->change_id, "accepted_at",
                  (json_int_t)deployment->accepted_at, "flow_idle_seconds",
                  (json_int_t)deployment->flow_idle_seconds, "last_service_id",
                  deployment->last_service_id, "services", services, "members",
                  members, "recent_changes", recent);
    char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(root);
    return text;
}

/* Decoding */

static json_t *
parse_json(const char *bytes, size_t length, GError **error)
{
    json_error_t problem;
    json_t *json = json_loadb(bytes, length, JSON_REJECT_DUPLICATES, &problem);
    if (!json) {
        g_set_error(error, MV_ERROR, MV_ERROR_INPUT,
                    "invalid JSON at line %d: %s", problem.line, problem.text);
    }
    return json;
}

static int64_t
get_integer(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
get_string(const json_t *object, const char *key, char *out, size_t size)
{
    const char *value = json_string_value(json_object_get(object, key));
    g_strlcpy(out, value ? value : "", size);
}

static bool
decode_buckets(const json_t *array, uint16_t count, uint16_t *out)
{
    for (uint16_t b = 0; b < count; b++) {
        json_int_t value = json_integer_value(json_array_get(array, b));
        if (value < 0 || value > MAX_ENDPOINT_ID + 1) {
            return false;
        }
        out[b] = (uint16_t)value;
    }
    return true;
}

static void
decode_endpoint(const json_t *json, mv_endpoint_t *endpoint)
{
    endpoint->id = (uint16_t)get_integer(json, "id");
    get_string(json, "name", endpoint->name, MV_NAME_MAX);
    get_string(json, "data_centre", endpoint->data_centre, MV_NAME_MAX);
    endpoint->address = (uint32_t)get_integer(json, "address");
    endpoint->packet_port = (uint16_t)get_integer(json, "packet_port");
    endpoint->request_port = (uint16_t)get_integer(json, "request_port");
    endpoint->slots = (uint16_t)get_integer(json, "slots");
    endpoint->connection_limit = (uint32_t)get_integer(json, "connections");
    endpoint->leaves_at = get_integer(json, "leaves_at");
    endpoint->ends_at = get_integer(json, "ends_at");
}

static void
decode_work(const json_t *json, mv_work_t *work)
{
    get_string(json, "name", work->name, sizeof(work->name));
    get_string(json, "method", work->method, sizeof(work->method));
    get_string(json, "path", work->path, sizeof(work->path));
    work->urgency = (uint8_t)get_integer(json, "urgency");
    work->share = (uint8_t)get_integer(json, "share");
    work->non_idempotent =
        json_is_true(json_object_get(json, "non_idempotent"));
}

static bool
is_power_of_two(size_t n)
{
    return n > 0 && (n & (n - 1)) == 0;
}

static bool
decode_service(const json_t *json, mv_service_t *service)
{
    const json_t *endpoints = json_object_get(json, "endpoints");
    const json_t *work = json_object_get(json, "work");
    size_t buckets = json_array_size(json_object_get(json, "target"));
    size_t count = json_array_size(endpoints);
    if (!is_power_of_two(buckets) || buckets > MV_MAX_BUCKETS ||
        json_array_size(json_object_get(json, "before")) != buckets ||
        count == 0 || count > MAX_ENDPOINT_ID ||
        json_array_size(work) > UINT8_MAX) {
        return false;
    }
    service->id = (uint16_t)get_integer(json, "id");
    get_string(json, "name", service->name, MV_NAME_MAX);
    service->address = (uint32_t)get_integer(json, "address");
    service->port = (uint16_t)get_integer(json, "port");
    service->ends_at = get_integer(json, "ends_at");
    service->last_endpoint_id =
        (uint16_t)get_integer(json, "last_endpoint_id");
    service->endpoint_count = (uint16_t)count;
    service->endpoints = g_new0(mv_endpoint_t, count);
    for (size_t i = 0; i < count; i++) {
        decode_endpoint(json_array_get(endpoints, i), &service->endpoints[i]);
    }
    service->work_count = (uint16_t)json_array_size(work);
    service->work = g_new0(mv_work_t, service->work_count + 1u);
    for (uint16_t i = 0; i < service->work_count; i++) {
        decode_work(json_array_get(work, i), &service->work[i]);
    }
    service->bucket_count = (uint16_t)buckets;
    service->before = g_new(uint16_t, buckets);
    service->target = g_new(uint16_t, buckets);
    return decode_buckets(json_object_get(json, "before"),
                          service->bucket_count, service->before) &&
           decode_buckets(json_object_get(json, "target"),
                          service->bucket_count, service->target);
}

GPtrArray *
MvDeployment_RootServices(const char *text, GError **error)
{
    json_t *root = parse_json(text, strlen(text), error);
    if (!root) {
        return NULL;
    }
    GPtrArray *pairs = g_ptr_array_new_with_free_func(g_free);
    json_t *services = json_object_get(root, "services");
    for (size_t i = 0; i < json_array_size(services); i++) {
        const json_t *service = json_array_get(services, i);
        const char *name = json_string_value(json_object_get(service, "name"));
        const char *digest =
            json_string_value(json_object_get(service, "digest"));
        g_ptr_array_add(pairs, g_strdup(name ? name : ""));
        g_ptr_array_add(pairs, g_strdup(digest ? digest : ""));
    }
    json_decref(root);
    return pairs;
}

char *
MvDeployment_Bundle(const char *root, char *const *services, size_t count,
                    GError **error)
{
    json_t *bundle = json_object();
    json_t *array = json_array();
    json_object_set_new(bundle, "services", array);
    json_object_set_new(bundle, "root", parse_json(root, strlen(root), error));
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(
            array, parse_json(services[i], strlen(services[i]), error));
    }
    char *text = NULL;
    if (json_array_size(array) == count && json_object_get(bundle, "root")) {
        text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    }
    json_decref(bundle);
    return text;
}

static void
decode_members(const json_t *members, mv_deployment_t *deployment)
{
    size_t count = MIN(json_array_size(members), UINT16_MAX);
    deployment->members = g_new0(mv_member_weight_t, count + 1);
    deployment->member_count = (uint16_t)count;
    for (size_t i = 0; i < count; i++) {
        const json_t *member = json_array_get(members, i);
        get_string(member, "name", deployment->members[i].name, MV_NAME_MAX);
        int64_t weight = get_integer(member, "weight");
        deployment->members[i].weight = (uint16_t)CLAMP(weight, 1, UINT16_MAX);
    }
}

static void
decode_recent(const json_t *recent, mv_deployment_t *deployment)
{
    for (size_t i = 0; i < MV_RECENT_CHANGES; i++) {
        const char *id = json_string_value(json_array_get(recent, i));
        g_strlcpy(deployment->recent_changes[i], id ? id : "",
                  MV_CHANGE_ID_MAX);
    }
}

/* Verifies the digest, so that the root of one change is never combined with a
 * service of another. */
static bool
decode_service_with_digest(const json_t *document, const char *digest,
                           mv_service_t *service)
{
    if (!decode_service(document, service)) {
        return false;
    }
    free(MvDeployment_EncodeService(service, service->digest));
    return !strcmp(service->digest, digest);
}

static const mv_service_t *
find_in_base(const mv_deployment_t *base, uint16_t position,
             const char *digest)
{
    uint16_t count = base ? base->service_count : 0;
    for (uint16_t i = 0; i < count; i++) {
        /* Most services keep their position. */
        const mv_service_t *service = &base->services[(position + i) % count];
        if (!strcmp(service->digest, digest)) {
            return service;
        }
    }
    return NULL;
}

/* Copies a service that the bundle leaves out because it is unchanged. */
static bool
copy_service_from_base(const mv_deployment_t *base, uint16_t position,
                       const char *digest, mv_service_t *service)
{
    const mv_service_t *old = find_in_base(base, position, digest);
    if (!old) {
        return false;
    }
    size_t buckets = old->bucket_count * sizeof(uint16_t);
    *service = *old;
    service->endpoints =
        g_memdup2(old->endpoints, old->endpoint_count * sizeof(mv_endpoint_t));
    service->work = g_new0(mv_work_t, old->work_count + 1u);
    memcpy(service->work, old->work, old->work_count * sizeof(mv_work_t));
    service->before = g_memdup2(old->before, buckets);
    service->target = g_memdup2(old->target, buckets);
    return true;
}

static bool
decode_listed_service(const json_t *document, const json_t *entry,
                      const mv_deployment_t *base, uint16_t position,
                      mv_service_t *service)
{
    const char *digest = json_string_value(json_object_get(entry, "digest"));
    if (!digest) {
        return false;
    }
    bool is_valid =
        json_is_null(document)
            ? copy_service_from_base(base, position, digest, service)
            : decode_service_with_digest(document, digest, service);
    service->changed_in = (uint64_t)get_integer(entry, "changed_in");
    return is_valid;
}

static bool
decode_bundle(const json_t *bundle, const mv_deployment_t *base,
              mv_deployment_t *deployment)
{
    const json_t *root = json_object_get(bundle, "root");
    const json_t *listed = json_object_get(root, "services");
    const json_t *services = json_object_get(bundle, "services");
    size_t count = json_array_size(services);
    get_string(root, "name", deployment->name, MV_NAME_MAX);
    get_string(root, "change_id", deployment->change_id,
               sizeof(deployment->change_id));
    deployment->version = (uint64_t)get_integer(root, "version");
    deployment->accepted_at = get_integer(root, "accepted_at");
    deployment->flow_idle_seconds =
        (uint32_t)get_integer(root, "flow_idle_seconds");
    deployment->last_service_id =
        (uint16_t)get_integer(root, "last_service_id");
    decode_members(json_object_get(root, "members"), deployment);
    decode_recent(json_object_get(root, "recent_changes"), deployment);
    if (deployment->version == 0 || deployment->flow_idle_seconds == 0 ||
        count != json_array_size(listed) || count > UINT16_MAX) {
        return false;
    }
    deployment->services = g_new0(mv_service_t, count + 1);
    deployment->service_count = (uint16_t)count;
    for (size_t i = 0; i < count; i++) {
        if (!decode_listed_service(json_array_get(services, i),
                                   json_array_get(listed, i), base,
                                   (uint16_t)i, &deployment->services[i])) {
            return false;
        }
    }
    return true;
}

mv_deployment_t *
MvDeployment_Decode(const char *bytes, size_t length,
                    const mv_deployment_t *base, GError **error)
{
    json_t *bundle = parse_json(bytes, length, error);
    if (!bundle) {
        return NULL;
    }
    mv_deployment_t *deployment = g_new0(mv_deployment_t, 1);
    deployment->references = 1;
    bool is_valid = decode_bundle(bundle, base, deployment);
    json_decref(bundle);
    if (!is_valid) {
        MvDeployment_Unref(deployment);
        g_set_error(
            error, MV_ERROR, MV_ERROR_INPUT,
            "configuration incomplete: a field is missing or invalid, or a "
            "service is missing or does not match its digest");
        return NULL;
    }
    return deployment;
}

char *
MvDeployment_EncodeSince(const mv_deployment_t *deployment, uint64_t since)
{
    char *root = MvDeployment_EncodeRoot(deployment);
    json_t *services = json_array();
    for (uint16_t i = 0; i < deployment->service_count; i++) {
        const mv_service_t *service = &deployment->services[i];
        char digest[MV_DIGEST_MAX];
        char *text = service->changed_in > since || since == 0
                         ? MvDeployment_EncodeService(service, digest)
                         : NULL;
        json_array_append_new(services,
                              text ? json_loads(text, 0, NULL) : json_null());
        free(text);
    }
    json_t *bundle = json_pack("{s:o,s:o}", "root", json_loads(root, 0, NULL),
                               "services", services);
    char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(bundle);
    free(root);
    return text;
}
