/* Items of the store, messages between nodes, registration. */
#include <sodium.h>
#include <string.h>

#include "arrivals.h"
#include "platform.h"
#include "tags_control.h"

/* Interval at which the record of former services is compared with what this
 * node knows. */
#define HISTORY_CHECK_INTERVAL (250 * MV_MILLISECOND)
/* The nodes that watch the store write the record within this time.  The
 * others write it only when none of them could. */
#define WATCHER_WRITE_DELAY (300 * MV_MILLISECOND)
#define OTHER_WRITE_MIN_DELAY (2 * MV_SECOND)
#define OTHER_WRITE_MAX_DELAY (6 * MV_SECOND)

/* From whom this node has what it knows, and how old that is: appended to the
 * lines about changes. */
typedef struct origin {
    char text[64];
} origin_t;

static origin_t
describe_origin(const mv_tags_control_t *control)
{
    origin_t origin;
    mv_node_id_t source = MvFanout_Source(control->fanout);
    mv_time_t age =
        MvFanout_Staleness(control->fanout, g_get_monotonic_time());
    if (MvFanout_IsWatching(control->fanout) || source == MV_NO_NODE) {
        (void)snprintf(origin.text, sizeof(origin.text), "source=store");
    }
    else {
        (void)snprintf(origin.text, sizeof(origin.text),
                       "source=%u age_ms=%" PRId64, source,
                       age / MV_MILLISECOND);
    }
    return origin;
}

static void
apply_routing(mv_tags_control_t *control, mv_routing_t *routing,
              uint64_t revision)
{
    uint64_t version = routing->version;
    unsigned routes = routing->routes->len;
    uint64_t before = MvDirectory_Version(control->directory);
    bool is_newer =
        MvDirectory_SetRouting(control->directory, MvClock_Boot(), routing);
    MvLog_Write(
        control->daemon.log,
        is_newer ? MV_EVENT_CONFIG_IN_FORCE : MV_EVENT_CONFIG_NOT_NEWER,
        "version=%" PRIu64 " before=%" PRIu64 " revision=%" PRIu64
        " routes=%u %s",
        version, before, revision, routes, describe_origin(control).text);
}

static void
apply_evacuation(mv_tags_control_t *control, const mv_store_entry_t *entry,
                 uint64_t revision)
{
    int event =
        MvDirectory_SetEvacuated(control->directory, MvClock_Boot(),
                                 entry->data_centre, entry->is_decoded);
    if (event) {
        MvLog_Write(control->daemon.log, (mv_log_event_t)event,
                    "data_centre=%s revision=%" PRIu64, entry->data_centre,
                    revision);
    }
}

static void
mark_table_outdated(mv_tags_control_t *control, mv_time_t now)
{
    control->table_outdated = true;
    if (control->changed_at == 0) {
        mv_time_t behind_since = MvFanout_BehindSince(control->fanout);
        control->changed_at = behind_since > 0 ? behind_since : now;
    }
}

static void
note_unreadable(mv_tags_control_t *control, const mv_store_item_t *item,
                const char *why)
{
    MvCounters_Add(&control->daemon.counters, MV_COUNTER_ITEMS_UNREADABLE, 1);
    MvLog_Write(control->daemon.log, MV_EVENT_ITEM_UNREADABLE,
                "revision=%" PRIu64 " why=\"%s\"", item->revision, why);
}

static void
apply_route_history(mv_tags_control_t *control, const mv_store_item_t *item)
{
    if (!MvDirectory_MergeRouteHistory(control->directory, MvClock_Boot(),
                                       item->deleted ? NULL : item->value)) {
        note_unreadable(control, item,
                        MV_ROUTE_HISTORY_KEY
                        ": a line names no route and service");
    }
}

mv_time_t
MvTagsCluster_WriteRouteHistory(mv_tags_control_t *control, mv_time_t now)
{
    if (now >= control->next_history_check) {
        bool is_urgent = false;
        bool is_watching = MvFanout_IsWatching(control->fanout);
        char *record = MvDirectory_RouteHistory(control->directory,
                                                MvClock_Boot(), &is_urgent);
        control->next_history_check = now + HISTORY_CHECK_INTERVAL;
        if (is_watching && is_urgent) {
            MvRecordWriter_Want(control->history_writer, now, record, 0,
                                WATCHER_WRITE_DELAY);
        }
        else {
            MvRecordWriter_Want(control->history_writer, now, record,
                                OTHER_WRITE_MIN_DELAY, OTHER_WRITE_MAX_DELAY);
        }
        g_free(record);
    }
    return MIN(MvRecordWriter_Timer(control->history_writer, now),
               control->next_history_check);
}

/* The first item tells the era at the node's start. */
static void
note_era(mv_tags_control_t *control, mv_time_t boot, uint64_t revision)
{
    uint64_t era = MvStore_Era(revision);
    if (era <= control->store_era && control->has_era) {
        return;
    }
    if (control->has_era) {
        MvDirectory_NoteStoreRestored(control->directory, boot);
        MvLog_Write(control->daemon.log, MV_EVENT_STORE_RESTORED,
                    "era=%" PRIu64 " revision=%" PRIu64, era,
                    MvReplica_Revision(control->replica));
    }
    control->has_era = true;
    control->store_era = era;
}

/* @item: deleted, or it names no server any more */
static void
withdraw_server(mv_tags_control_t *control, const mv_store_item_t *item)
{
    mv_time_t boot = MvClock_Boot();
    mv_time_t now = g_get_monotonic_time();
    mv_time_t unseen_for = now - MvFanout_DateRemoval(control->fanout, now);
    int event = MvDirectory_Withdraw(control->directory, boot,
                                     boot - unseen_for, item->key);
    if (event) {
        mv_time_t uptime = now - control->started_at;
        MvLog_Write(control->daemon.log, (mv_log_event_t)event,
                    "server=%s revision=%" PRIu64 " unseen_ms=%" PRId64,
                    item->key, item->revision,
                    MIN(unseen_for, uptime) / MV_MILLISECOND);
    }
}

static void
apply_server(mv_tags_control_t *control, const mv_store_entry_t *entry,
             const mv_store_item_t *item)
{
    if (!entry->is_decoded) {
        withdraw_server(control, item);
        return;
    }
    int event =
        MvDirectory_Announce(control->directory, MvClock_Boot(), item->key,
                             item->revision, &entry->server);
    if (event) {
        MvLog_Write(control->daemon.log, (mv_log_event_t)event,
                    "server=%s revision=%" PRIu64 " %s", item->key,
                    item->revision, describe_origin(control).text);
    }
}

void
MvTagsCluster_ApplyItem(void *context, const mv_store_item_t *item)
{
    mv_tags_control_t *control = context;
    GError *error = NULL;
    mv_time_t now = g_get_monotonic_time();
    note_era(control, MvClock_Boot(), item->revision);
    mv_store_entry_t entry = MvPlatform_Decode(
        item->key, item->deleted ? NULL : item->value, item->length, &error);
    if (entry.kind) {
        mark_table_outdated(control, now);
    }
    if (!strcmp(item->key, MV_ROUTE_HISTORY_KEY)) {
        apply_route_history(control, item);
        mark_table_outdated(control, now);
    }
    if (g_str_has_prefix(item->key, MV_NODE_PREFIX)) {
        MvFanout_UpdateNode(control->fanout, now, item->key,
                            item->deleted ? NULL : item->value);
        control->table_outdated = true;
    }
    if (error) {
        note_unreadable(control, item, error->message);
        g_clear_error(&error);
    }
    if (entry.routing) {
        apply_routing(control, entry.routing, item->revision);
    }
    if (entry.kind == MV_STORE_ENTRY_EVACUATION) {
        apply_evacuation(control, &entry, item->revision);
    }
    if (entry.kind == MV_STORE_ENTRY_SERVER) {
        apply_server(control, &entry, item);
    }
}

void
MvTagsCluster_PublishTable(mv_tags_control_t *control)
{
    MvTable_Destroy(__atomic_exchange_n(&control->daemon.replaced_table, NULL,
                                        __ATOMIC_ACQ_REL));
    bool is_due = MvClock_Boot() >= MvDirectory_DueAt(control->directory);
    if (!control->table_outdated && !is_due) {
        return;
    }
    control->table_outdated = false;
    MvDirectory_SetLocalNodes(control->directory,
                              MvFanout_LocalNodes(control->fanout));
    MvDirectory_SetNodes(control->directory, MvFanout_Nodes(control->fanout));
    /* The new table also contains the changes of a pending one, which the
     * traffic thread has not taken yet, and keeps the time of the oldest. */
    mv_table_t *pending = __atomic_exchange_n(&control->daemon.next_table,
                                              NULL, __ATOMIC_ACQ_REL);
    mv_time_t pending_changed_at = pending ? MvTable_ChangedAt(pending) : 0;
    MvTable_Destroy(pending);
    mv_table_t *table = MvDirectory_Table(control->directory, MvClock_Boot());
    MvTable_SetSource(table, MvReplica_Revision(control->replica),
                      pending_changed_at > 0 ? pending_changed_at
                                             : control->changed_at);
    control->changed_at = 0;
    __atomic_store_n(&control->daemon.next_table, table, __ATOMIC_RELEASE);
}

/* Messages between nodes */

static void
send_message(void *context, mv_node_id_t to, const mv_message_t *message)
{
    const mv_tags_control_t *control = context;
    if (control->links) {
        MvLinks_Send(control->links, to, message);
    }
}

static void
add_peer(void *context, const mv_node_record_t *peer)
{
    const mv_tags_control_t *control = context;
    if (control->links) {
        MvLinks_AddPeer(control->links, peer->id, peer->address, peer->port);
    }
}

static void
log_role(void *context, bool watches, unsigned rank)
{
    const mv_tags_control_t *control = context;
    mv_time_t known_for =
        g_get_monotonic_time() - MvFanout_ProvenAt(control->fanout);
    MvLog_Write(control->daemon.log, MV_EVENT_WATCH_ROLE,
                "watches=%d rank=%u near_nodes=%u revision=%" PRIu64
                " known_ms=%" PRId64,
                watches, rank, MvFanout_LocalNodes(control->fanout),
                MvReplica_Revision(control->replica),
                known_for / MV_MILLISECOND);
}

static void
log_heartbeats(void *context, mv_node_id_t id, bool is_back, mv_time_t absence)
{
    const mv_tags_control_t *control = context;
    MvLog_Write(
        control->daemon.log,
        is_back ? MV_EVENT_HEARTBEATS_RESUMED : MV_EVENT_HEARTBEATS_STOPPED,
        "id=%u gone_ms=%" PRId64 " revision=%" PRIu64, id,
        absence / MV_MILLISECOND, MvReplica_Revision(control->replica));
}

static void
log_source_lost(void *context, mv_node_id_t id, mv_source_loss_t why)
{
    static const char *const reasons[] = {[MV_SOURCE_SILENT] = "silent",
                                          [MV_SOURCE_LATE] = "late",
                                          [MV_SOURCE_OUTDATED] = "outdated"};
    const mv_tags_control_t *control = context;
    MvLog_Write(control->daemon.log, MV_EVENT_SOURCE_LOST,
                "id=%u why=%s revision=%" PRIu64, id, reasons[why],
                MvReplica_Revision(control->replica));
}

static void
log_source_found(void *context, mv_node_id_t id, unsigned asked,
                 mv_time_t took)
{
    const mv_tags_control_t *control = context;
    MvLog_Write(control->daemon.log, MV_EVENT_SOURCE_FOUND,
                "id=%u asked=%u took_ms=%" PRId64 " revision=%" PRIu64, id,
                asked, took / MV_MILLISECOND,
                MvReplica_Revision(control->replica));
}

static const mv_fanout_ops_t fanout_ops = {
    .send = send_message,
    .add_peer = add_peer,
    .role_changed = log_role,
    .contact_changed = log_heartbeats,
    .source_lost = log_source_lost,
    .source_found = log_source_found,
};

/* @to: MV_NO_NODE for all nodes of the report group */
static void
send_flows(mv_tags_control_t *control, mv_node_id_t to, mv_message_kind_t kind,
           const mv_flow_offer_t *flows, size_t count)
{
    mv_buffer_t bytes = {.data = NULL};
    if (MvFlowOffers_Encode(flows, count, &bytes)) {
        mv_message_t message = {.kind = kind,
                                .blob = (char *)bytes.data,
                                .blob_length = bytes.length};
        if (to == MV_NO_NODE) {
            MvFanout_Broadcast(control->fanout, &message);
        }
        else {
            MvFanout_Send(control->fanout, to, &message);
        }
    }
    MvBuffer_Clear(&bytes);
}

static void
send_records(mv_tags_control_t *control, const mv_report_t *report)
{
    mv_message_t message = {.kind = MV_MESSAGE_SERVERS,
                            .loads = report->records,
                            .load_count = report->record_count};
    MvFanout_Broadcast(control->fanout, &message);
}

void
MvTagsCluster_SendReports(mv_tags_control_t *control)
{
    mv_report_t *report = MvReports_TakeAll(&control->daemon.reports_out);
    while (report) {
        if (report->offer_count > 0) {
            send_flows(control, MV_NO_NODE, MV_MESSAGE_OFFERS, report->offers,
                       report->offer_count);
        }
        if (report->opening_count > 0) {
            send_flows(control, report->to, MV_MESSAGE_OPENINGS,
                       report->openings, report->opening_count);
        }
        if (report->record_count > 0) {
            send_records(control, report);
        }
        report = MvReports_Free(report);
    }
}

/* To be called when this node has just started: the others have told each
 * other the contested flows before. */
static void
request_openings(mv_tags_control_t *control)
{
    mv_message_t message = {.kind = MV_MESSAGE_OPENINGS};
    MvFanout_Broadcast(control->fanout, &message);
}

static void
receive_flows(mv_tags_control_t *control, const mv_message_t *message)
{
    mv_flow_offer_t flows[MV_MAX_OFFERS];
    mv_report_t report = {.from = message->from};
    if (message->kind == MV_MESSAGE_OPENINGS && message->blob_length == 0) {
        report.wants_openings = true;
        MvReports_Push(&control->daemon.reports_in, &report);
        return;
    }
    size_t count =
        MvFlowOffers_Decode(message->blob, message->blob_length, flows);
    if (count == 0) {
        MvCounters_Add(&control->daemon.counters, MV_COUNTER_FRAMES_REFUSED,
                       1);
        return;
    }
    if (message->kind == MV_MESSAGE_OPENINGS) {
        report.opening_count = count;
        report.openings = flows;
    }
    else {
        report.offer_count = count;
        report.offers = flows;
    }
    MvReports_Push(&control->daemon.reports_in, &report);
}

static void
receive_records(mv_tags_control_t *control, const mv_message_t *message)
{
    const mv_report_t report = {.from = message->from,
                                .record_count = message->load_count,
                                .records = message->loads};
    MvReports_Push(&control->daemon.reports_in, &report);
}

static void
handle_message(void *context, const mv_message_t *message)
{
    mv_tags_control_t *control = context;
    switch (message->kind) {
    case MV_MESSAGE_OFFERS:
    case MV_MESSAGE_OPENINGS:
        receive_flows(control, message);
        break;
    case MV_MESSAGE_SERVERS:
        receive_records(control, message);
        break;
    default:
        MvFanout_HandleMessage(control->fanout, g_get_monotonic_time(),
                               message);
    }
}

static void
handle_command(void *context, const char *command, size_t length,
               mv_reply_t *reply)
{
    mv_tags_control_t *control = context;
    (void)length;
    const char unknown[] = "{\"error\":\"unknown command\"}";
    if (strcmp(command, "dump") != 0) {
        MvReply_Send(reply, unknown, sizeof(unknown) - 1);
        return;
    }
    char *text = MvTagsStatus_Dump(control);
    MvReply_Send(reply, text, strlen(text));
    g_free(text);
}

static const mv_links_ops_t links_ops = {
    .message = handle_message,
    .command = handle_command,
};

/* Return: a key file with one random key, see MvKeyring_Parse(). */
static char *
generate_keys(void *context)
{
    unsigned char key[MV_KEY_BYTES];
    char hex[2 * MV_KEY_BYTES + 1];
    (void)context;
    randombytes_buf(key, sizeof(key));
    sodium_bin2hex(hex, sizeof(hex), key, sizeof(key));
    sodium_memzero(key, sizeof(key));
    return g_strdup_printf("1 %s\n", hex);
}

static bool
open_links(mv_tags_control_t *control, mv_node_id_t id, GError **error)
{
    const mv_settings_t *settings = control->daemon.settings;
    mv_findings_t *findings = MvFindings_Create();
    const char *keys =
        MvReplica_Value(control->replica, MV_SIGNING_KEYS, NULL);
    /* The settings of this mode have no deployment name; the store's address
     * takes its place in the MACs, so all nodes must spell it alike. */
    control->keyring = MvKeyring_Parse(MV_SIGNING_KEYS, keys,
                                       settings->store_addresses, findings);
    if (!control->keyring) {
        g_set_error(error, MV_ERROR, MV_ERROR_INPUT, "%s",
                    MvFindings_Get(findings, 0));
    }
    MvFindings_Destroy(findings);
    if (!control->keyring) {
        return false;
    }
    const mv_links_settings_t links = {
        .address = settings->self.address,
        .port = settings->self.control_port,
        .keyring = control->keyring,
        .id = id,
        .first_sequence = (uint64_t)g_get_real_time(),
        .counters = &control->daemon.counters,
        .log = control->daemon.log,
    };
    control->links =
        MvLinks_Create(control->loop, &links, &links_ops, control, error);
    return control->links != NULL;
}

/* Opens the links to other nodes.  When that fails, this node continues to
 * watch the store itself. */
static void
registered(void *context, mv_node_id_t id)
{
    mv_tags_control_t *control = context;
    GError *error = NULL;
    if (control->links) {
        return;
    }
    if (!open_links(control, id, &error)) {
        MvLog_Write(control->daemon.log, MV_EVENT_LINKS_FAILED, "why=\"%s\"",
                    error->message);
        g_clear_error(&error);
        return;
    }
    MvFanout_SetSelf(control->fanout, g_get_monotonic_time(), id);
    control->table_outdated = true;
    MvLog_Write(control->daemon.log, MV_EVENT_NODE_REGISTERED, "id=%u", id);
    request_openings(control);
}

static const mv_registration_ops_t registration_ops = {
    .generate_keys = generate_keys,
    .registered = registered,
};

const mv_fanout_ops_t *
MvTagsCluster_FanoutOps(void)
{
    return &fanout_ops;
}

const mv_registration_ops_t *
MvTagsCluster_RegistrationOps(void)
{
    return &registration_ops;
}
