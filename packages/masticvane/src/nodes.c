/* status and dump: query the entry VMs. */
#include "command.h"

#include <apr_network_io.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT (2 * MV_SECOND)
#define RECEIVE_BYTES 65536

typedef struct node_address {
    mv_node_id_t id;
    char *host;
    uint16_t port;
} node_address_t;

static GArray *
read_addresses(const mv_options_t *options)
{
    char *text = NULL;
    if (!options->nodes ||
        !g_file_get_contents(options->nodes, &text, NULL, NULL)) {
        (void)fprintf(stderr,
                      "masticvane: --nodes FILE is required and must be "
                      "readable\n");
        return NULL;
    }
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(node_address_t));
    mv_findings_t *findings = MvFindings_Create();
    mv_ini_t *ini = MvIni_Parse(options->nodes, text, findings);
    GPtrArray *sections = MvIni_Sections(ini, "peer ");
    for (guint i = 0; i < sections->len; i++) {
        const char *section = g_ptr_array_index(sections, i);
        node_address_t address = {
            .id = (mv_node_id_t)g_ascii_strtoull(section + strlen("peer "),
                                                 NULL, 10),
            .host =
                g_strdup(MvIni_Text(ini, section, "address", NULL, findings)),
            .port = (uint16_t)MvIni_Number(ini, section, "control_port", 1,
                                           65535, 7400, findings),
        };
        g_array_append_val(addresses, address);
    }
    MvFindings_Print(findings, stderr);
    MvFindings_Destroy(findings);
    g_ptr_array_unref(sections);
    MvIni_Destroy(ini);
    g_free(text);
    return addresses;
}

static void
free_addresses(GArray *addresses)
{
    for (guint i = 0; i < addresses->len; i++) {
        g_free(g_array_index(addresses, node_address_t, i).host);
    }
    g_array_unref(addresses);
}

static mv_keyring_t *
read_keys(const mv_options_t *options, const char *deployment)
{
    char *text = NULL;
    mv_findings_t *findings = MvFindings_Create();
    mv_keyring_t *keyring = NULL;
    if (options->key_file &&
        g_file_get_contents(options->key_file, &text, NULL, NULL)) {
        keyring =
            MvKeyring_Parse(options->key_file, text, deployment, findings);
    }
    else {
        (void)fprintf(stderr, "masticvane: --key-file FILE is required and "
                              "must be readable\n");
    }
    MvFindings_Print(findings, stderr);
    MvFindings_Destroy(findings);
    g_free(text);
    return keyring;
}

static bool
receive_answer(apr_socket_t *socket, mv_frame_codec_t *codec, char **answer)
{
    mv_buffer_t in = {.data = NULL};
    bool is_received = false;
    for (;;) {
        char bytes[RECEIVE_BYTES];
        apr_size_t length = sizeof(bytes);
        mv_frame_t frame;
        apr_status_t status = apr_socket_recv(socket, bytes, &length);
        if (length == 0 || !MvBuffer_Append(&in, bytes, length)) {
            break;
        }
        mv_frame_status_t decoded =
            MvFrameCodec_Decode(codec, in.data, in.length, &frame);
        if (decoded == MV_FRAME_VALID) {
            *answer = g_strndup((const char *)frame.body, frame.length);
            is_received = true;
        }
        if (decoded != MV_FRAME_INCOMPLETE || status != APR_SUCCESS) {
            break;
        }
    }
    MvBuffer_Clear(&in);
    return is_received;
}

static char *
send_command(apr_pool_t *pool, const node_address_t *to,
             const mv_keyring_t *keyring, const char *command)
{
    apr_sockaddr_t *socket_address = NULL;
    apr_socket_t *socket = NULL;
    char *answer = NULL;
    if (apr_sockaddr_info_get(&socket_address, to->host, APR_INET, to->port, 0,
                              pool) != APR_SUCCESS ||
        apr_socket_create(&socket, APR_INET, SOCK_STREAM, 0, pool) !=
            APR_SUCCESS) {
        return NULL;
    }
    apr_socket_timeout_set(socket, QUERY_TIMEOUT);
    /* A random channel: concurrent calls of this command must not share one
     * sequence of frames, or frames would be refused as replayed. */
    uint16_t channel = (uint16_t)g_random_int();
    mv_frame_codec_t *codec = MvFrameCodec_Create(keyring, MV_NO_NODE, channel,
                                                  (uint64_t)g_get_real_time());
    mv_buffer_t out = {.data = NULL};
    if (apr_socket_connect(socket, socket_address) == APR_SUCCESS &&
        MvFrameCodec_Encode(codec, MV_FRAME_COMMAND, command, strlen(command),
                            &out)) {
        apr_size_t length = out.length;
        apr_socket_send(socket, (const char *)out.data, &length);
        receive_answer(socket, codec, &answer);
    }
    MvBuffer_Clear(&out);
    MvFrameCodec_Destroy(codec);
    apr_socket_close(socket);
    return answer;
}

mv_node_status_t *
MvNodes_Query(const mv_options_t *options, const char *deployment,
              size_t *count)
{
    GArray *addresses = read_addresses(options);
    mv_keyring_t *keyring = addresses ? read_keys(options, deployment) : NULL;
    mv_node_status_t *nodes = NULL;
    apr_pool_t *pool = NULL;
    apr_pool_create(&pool, NULL);
    if (keyring) {
        *count = addresses->len;
        nodes = g_new0(mv_node_status_t, *count + 1);
    }
    for (size_t i = 0; nodes && i < *count; i++) {
        const node_address_t *to =
            &g_array_index(addresses, node_address_t, i);
        char *answer = send_command(pool, to, keyring, "dump");
        nodes[i].id = to->id;
        if (answer) {
            nodes[i].state = json_loads(answer, 0, NULL);
            nodes[i].answered = nodes[i].state != NULL;
            nodes[i].version = (uint64_t)json_integer_value(
                json_object_get(nodes[i].state, "config_version"));
        }
        g_free(answer);
    }
    apr_pool_destroy(pool);
    MvKeyring_Destroy(keyring);
    if (addresses) {
        free_addresses(addresses);
    }
    return nodes;
}

void
MvNodes_Free(mv_node_status_t *nodes, size_t count)
{
    for (size_t i = 0; nodes && i < count; i++) {
        json_decref(nodes[i].state);
    }
    g_free(nodes);
}

static bool
has_deployment(const mv_options_t *options)
{
    if (!options->deployment) {
        (void)fprintf(stderr, "masticvane: --deployment is required\n");
    }
    return options->deployment != NULL;
}

static void
print_status(const mv_node_status_t *node, uint64_t newest)
{
    const char *remark = "";
    if (!node->answered) {
        (void)printf("node %-5u no answer\n", node->id);
        return;
    }
    if (node->version < newest) {
        remark = "  LAGGING";
    }
    (void)printf("node %-5u version %" G_GUINT64_FORMAT
                 "  change %s  flow entries %" G_GINT64_FORMAT "%s%s\n",
                 node->id, node->version,
                 json_string_value(json_object_get(node->state, "change_id")),
                 (gint64)json_integer_value(
                     json_object_get(node->state, "flow_entries")),
                 json_is_true(json_object_get(node->state, "stopping"))
                     ? "  stopping"
                     : "",
                 remark);
}

/* Prints the evacuated data centres that a node with forwarding = tags
 * reports. */
static void
print_evacuations(const mv_node_status_t *node)
{
    size_t i;
    const json_t *entry;
    json_array_foreach(json_object_get(node->state, "evacuated"), i, entry)
    {
        (void)printf(
            "  data centre %s evacuated for %" G_GINT64_FORMAT " s\n",
            json_string_value(json_object_get(entry, "data_centre")),
            (gint64)json_integer_value(json_object_get(entry, "seconds")));
    }
}

static json_t *
status_json(const mv_node_status_t *node)
{
    const json_t *evacuated = json_object_get(node->state, "evacuated");
    return json_pack("{s:i,s:b,s:I,s:O?}", "node", (int)node->id, "answered",
                     (int)node->answered, "config_version",
                     (json_int_t)node->version, "evacuated", evacuated);
}

int
MvCommand_Status(const mv_options_t *options, int argc, char **argv)
{
    size_t count = 0;
    uint64_t newest = 0;
    bool is_any_lagging = false;
    (void)argc;
    (void)argv;
    if (!has_deployment(options)) {
        return MV_EXIT_USAGE;
    }
    mv_node_status_t *nodes =
        MvNodes_Query(options, options->deployment, &count);
    if (!nodes) {
        return MV_EXIT_USAGE;
    }
    for (size_t i = 0; i < count; i++) {
        newest = MAX(newest, nodes[i].version);
    }
    json_t *statuses = json_array();
    for (size_t i = 0; i < count; i++) {
        is_any_lagging =
            is_any_lagging || !nodes[i].answered || nodes[i].version < newest;
        json_array_append_new(statuses, status_json(&nodes[i]));
        if (!options->json) {
            print_status(&nodes[i], newest);
            print_evacuations(&nodes[i]);
        }
    }
    json_t *summary = MvRetirements_Sum(nodes, count);
    if (options->json) {
        json_object_set(summary, "nodes", statuses);
        json_dumpf(summary, stdout, JSON_INDENT(2));
        (void)fputs("\n", stdout);
    }
    else {
        MvRetirements_Print(summary);
    }
    json_decref(summary);
    json_decref(statuses);
    MvNodes_Free(nodes, count);
    return is_any_lagging ? MV_EXIT_LAGGING : MV_EXIT_OK;
}

int
MvCommand_Dump(const mv_options_t *options, int argc, char **argv)
{
    size_t count = 0;
    int status = MV_EXIT_FAILED;
    if (argc != 1 || !has_deployment(options)) {
        (void)fprintf(stderr, "masticvane: one NODE is required\n");
        return MV_EXIT_USAGE;
    }
    guint64 id = g_ascii_strtoull(argv[0], NULL, 10);
    mv_node_status_t *nodes =
        MvNodes_Query(options, options->deployment, &count);
    for (size_t i = 0; nodes && i < count; i++) {
        if (nodes[i].id == id && nodes[i].answered) {
            json_dumpf(nodes[i].state, stdout, JSON_INDENT(2));
            (void)fputs("\n", stdout);
            status = MV_EXIT_OK;
        }
    }
    if (status != MV_EXIT_OK) {
        (void)fprintf(
            stderr,
            "masticvane: node %s is not in --nodes or did not answer\n",
            argv[0]);
    }
    MvNodes_Free(nodes, count);
    return status;
}
