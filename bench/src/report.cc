#include "report.h"

#include "masticvane/net.h"

static std::string
format_number(double value)
{
    char text[32];
    snprintf(text, sizeof(text), value >= 1000 ? "%.0f" : "%.4g", value);
    return value < 0 ? "" : text;
}

void
bench_report::text(const std::string &line)
{
    puts(line.c_str());
    fflush(stdout);
    out_ += line + "\n";
}

void
bench_report::section(const std::string &title)
{
    text("");
    text("## " + title);
    text("");
    text("| measure | target | figure | baseline | verdict |");
    text("| --- | --- | --- | --- | --- |");
}

void
bench_report::row(const std::string &name, const std::string &target,
                  double bound, double figure, double baseline, bool at_least)
{
    bool is_met = at_least ? figure >= bound : figure <= bound;
    misses_ += !is_met;
    text("| " + name + " | " + target + " | " + format_number(figure) + " | " +
         format_number(baseline) + " | " + (is_met ? "met" : "missed") + " |");
}

void
bench_report::note(const std::string &name, double figure, double baseline)
{
    text("| " + name + " | | " + format_number(figure) + " | " +
         format_number(baseline) + " | |");
}

int
bench_report::finish(const std::string &path)
{
    if (!path.empty()) {
        FILE *file = fopen(path.c_str(), "w");
        if (file) {
            fputs(out_.c_str(), file);
            fclose(file);
        }
    }
    printf("\n%d targets missed\n", misses_);
    return misses_;
}

size_t
bench_frame_size(const mv_message *message)
{
    mv_buffer_t out = {};
    MvMessage_Encode(message, &out);
    size_t size = out.length + MV_FRAME_OVERHEAD_BYTES;
    MvBuffer_Clear(&out);
    return size;
}
